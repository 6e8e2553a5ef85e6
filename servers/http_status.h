#pragma once

/** HTTP status codes that the programs send or test for. */
namespace papayawheel::http_status {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

}  // namespace papayawheel::http_status
