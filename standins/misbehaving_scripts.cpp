#include "standins/misbehaving_scripts.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

#include "platform/protocol_names.h"

namespace papayawheel {
namespace {

std::string LastSegment(const std::string& aTarget) {
  return aTarget.substr(aTarget.rfind('/') + 1);
}

/** Scripts of answers that never end, by the last segment of the target. */
std::optional<AnswerScript> EndlessScriptFor(const std::string& aTarget) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::map<std::string, AnswerScript> scripts = {
      {"endless-head", {head, false, "X-Filler: yyyyyyyyyyyyyyyyyyyyyyyy\r\n"}},
      {"endless-value", {head + "X: ", false, "yyyyyyyyyyyyyyyyyyyyyyyyyyy"}},
      {"endless-body", {head + "\r\n", false, "zzzzzzzzzzzzzzzzzzzzzzzzzzz"}},
      {"endless-chunks", {chunked, false, "4\r\nzzzz\r\n"}},
      {"endless-chunk", {chunked + "8000000000000000\r\n", false, "zzzzzzzz"}},
      {"endless-trailers", {chunked + "0\r\n", false, "X-Filler: yyyy\r\n"}},
      {"endless-interim", {"", false, "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"endless-garbage", {"", false, "no answer "}},
      {"drip",
       {head + "Content-Length: 1000\r\n\r\n", false, "z",
        std::chrono::milliseconds(100)}},
  };
  const auto found = scripts.find(LastSegment(aTarget));
  return found == scripts.end() ? std::nullopt : std::optional(found->second);
}

/** Scripts of answers to long requests that are followed by a reset, by the
 * last segment of the target, which they echo as request id. */
std::optional<AnswerScript> EarlyScriptFor(const std::string& aTarget) {
  const std::string name = LastSegment(aTarget);
  const std::string id =
      fmt::format("{}: {}\r\n", platform::kRequestIdHeader, name);
  const std::string head = "HTTP/1.1 200 OK\r\n" + id;
  const std::map<std::string, std::string> answers = {
      {"early-part", head + "\r\npart"},
      {"early-chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
      {"early-whole", head + "Content-Length: 5\r\n\r\nwhole"},
      {"early-refusal",
       "HTTP/1.1 413 Too Long\r\n" + id + "Content-Length: 7\r\n\r\nrefused"},
  };
  const auto found = answers.find(name);
  if (found == answers.end()) {
    return std::nullopt;
  }
  AnswerScript script{found->second};
  script.mReset = true;
  return script;
}

/** Scripts of answers with an unusual field line, by the last segment of the
 * target, which they echo as request id. */
std::optional<AnswerScript> LineScriptFor(const std::string& aTarget) {
  const std::string name = LastSegment(aTarget);
  const std::map<std::string, std::string> lines = {
      {"line-usual", "Good-Name: x"},
      {"line-blank", "Bad Name: x"},
      {"line-blank-at-end", "Bad-Name : x"},
      {"line-blank-at-start", " Bad-Name: x"},
      {"line-continued", "Good-Name: x\r\n Bad-Name: x"},
      {"line-control", "Bad\x01Name: x"},
      {"line-no-colon", "Bad-Name"},
      {"line-blank-length", "Content Length: 9"},
  };
  const auto found = lines.find(name);
  if (found == lines.end()) {
    return std::nullopt;
  }
  return AnswerScript{fmt::format(
      "HTTP/1.1 200 OK\r\n{}\r\n{}: {}\r\nContent-Length: 2\r\n\r\nok",
      found->second, platform::kRequestIdHeader, name)};
}

/** Scripts of answers with an unusual status line: "status-X" sends the status
 * X, in which "_" stands for a space. They echo the last segment of the target
 * as request id. */
std::optional<AnswerScript> StatusScriptFor(const std::string& aTarget) {
  const std::string prefix = "status-";
  const std::string name = LastSegment(aTarget);
  const std::string rest =
      fmt::format("\r\n{}: {}\r\nContent-Length: 2\r\n\r\nok",
                  platform::kRequestIdHeader, name);
  if (name == "early-hints") {
    return AnswerScript{
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK" + rest};
  }
  if (!name.starts_with(prefix)) {
    return std::nullopt;
  }
  std::string status = name.substr(prefix.size());
  std::replace(status.begin(), status.end(), '_', ' ');
  return AnswerScript{fmt::format("HTTP/1.1 {} Odd{}", status, rest)};
}

/** Scripts of refusals: "refuse-STATUS-FORM" refuses with the status in one of
 * the forms below. They echo the last segment of the target as request id. */
std::optional<AnswerScript> RefusalScriptFor(const std::string& aTarget) {
  const std::string prefix = "refuse-";
  const std::string name = LastSegment(aTarget);
  const std::size_t dash = name.rfind('-');
  if (!name.starts_with(prefix) || dash < prefix.size()) {
    return std::nullopt;
  }
  const std::string stated = fmt::format("{}: 1\r\n", platform::kNotRunHeader);
  const std::string empty = "Content-Length: 0\r\n\r\n";
  const std::string body = "Content-Length: 4\r\n\r\nfull";
  const std::string chunks =
      "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n";
  const std::map<std::string, std::string> forms = {
      {"bare", empty},
      {"stamped",
       fmt::format("{}: proof-bad\r\n", platform::kResponseStampHeader) + body},
      {"backoff",
       fmt::format("{}: 0.2\r\n", platform::kRetryAfterHeader) + empty},
      {"chunked", chunks + "\r\n"},
      {"trailer", chunks + stated + "\r\n"},
      {"closing", "Connection: close\r\n" + body},
      {"reset", body},
      {"stated", stated + empty},
  };
  const std::string form = name.substr(dash + 1);
  const auto found = forms.find(form);
  if (found == forms.end()) {
    return std::nullopt;
  }
  const std::string status = name.substr(prefix.size(), dash - prefix.size());
  AnswerScript script{fmt::format("HTTP/1.1 {} Refused\r\n{}: {}\r\n{}", status,
                                  platform::kRequestIdHeader, name,
                                  found->second)};
  script.mClose = form == "closing";
  script.mReset = form == "reset";
  return script;
}

}  // namespace

AnswerScript ScriptFor(const std::string& aTarget) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  if (aTarget == "/short") {
    return {head + "Content-Length: 100\r\n\r\nonly this", true};
  }
  if (aTarget == "/chunked") {
    return {head +
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n "
                "world\r\n0\r\n\r\n",
            false};
  }
  if (aTarget == "/chunked-cut") {
    return {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true};
  }
  if (aTarget == "/no-length") {
    return {head + "\r\nno end is stated", true};
  }
  if (aTarget == "/reset") {
    return {"", true};
  }
  if (aTarget == "/silent") {
    return {"", false};
  }
  if (aTarget == "/garbage") {
    return {"this is not HTTP\r\n\r\n", true};
  }
  if (const auto script = StatusScriptFor(aTarget)) {
    return *script;
  }
  if (const auto refusal = RefusalScriptFor(aTarget)) {
    return *refusal;
  }
  if (const auto line = LineScriptFor(aTarget)) {
    return *line;
  }
  if (const auto early = EarlyScriptFor(aTarget)) {
    return *early;
  }
  if (const auto endless = EndlessScriptFor(aTarget)) {
    return *endless;
  }
  if (aTarget == "/health") {
    return {head + std::string(platform::kLoadHeader) +
                ": 0,0,4,100\r\nContent-Length: 0\r\n\r\n",
            false};
  }
  const std::string body = "whole " + aTarget;
  return {fmt::format("{}Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
                      "Content-Length: {}\r\n\r\n{}",
                      head, body.size(), body),
          false};
}

}  // namespace papayawheel
