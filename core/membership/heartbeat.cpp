#include "core/membership/heartbeat.h"

#include <nlohmann/json.hpp>

namespace papayawheel {

using Json = nlohmann::json;

std::string WriteHeartbeat(const Heartbeat& aHeartbeat) {
  Json quarantines = Json::array();
  for (const Quarantine& quarantine : aHeartbeat.mQuarantines) {
    quarantines.push_back(
        Json::array({quarantine.mFingerprint, quarantine.mRemaining.count()}));
  }
  return Json{{"quarantines", quarantines},
              {"host", aHeartbeat.mHost},
              {"incarnation", aHeartbeat.mIncarnation},
              {"uptime_ms", aHeartbeat.mUptime.count()},
              {"revision", aHeartbeat.mRevision},
              {"obeyed", aHeartbeat.mLedger.mAppliedRevision},
              {"settled", aHeartbeat.mLedger.mConvergedRevision},
              {"ready", aHeartbeat.mReady},
              {"leaving", aHeartbeat.mDraining},
              {"in_flight", aHeartbeat.mInFlight}}
      .dump();
}

std::optional<Heartbeat> ReadHeartbeat(const std::string& aText) {
  const Json value = Json::parse(aText, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    Heartbeat heartbeat;
    heartbeat.mHost = value.at("host").get<std::string>();
    heartbeat.mIncarnation = value.at("incarnation").get<std::uint64_t>();
    heartbeat.mUptime =
        std::chrono::milliseconds(value.at("uptime_ms").get<std::int64_t>());
    heartbeat.mRevision = value.at("revision").get<std::uint64_t>();
    heartbeat.mLedger.mAppliedRevision =
        value.at("obeyed").get<std::uint64_t>();
    heartbeat.mLedger.mConvergedRevision =
        value.at("settled").get<std::uint64_t>();
    heartbeat.mReady = value.at("ready").get<bool>();
    heartbeat.mDraining = value.at("leaving").get<bool>();
    heartbeat.mInFlight = value.at("in_flight").get<std::uint32_t>();
    // Earlier versions of the program do not send this field.
    for (const Json& item : value.value("quarantines", Json::array())) {
      heartbeat.mQuarantines.push_back(Quarantine{
          item.at(0).get<std::uint64_t>(),
          std::chrono::milliseconds(item.at(1).get<std::int64_t>())});
    }
    return heartbeat;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayawheel
