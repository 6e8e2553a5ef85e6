#include "servers/control_api.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "core/membership/host_directory.h"
#include "servers/call_messages.h"
#include "servers/query.h"

namespace papayawheel {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kCustomerPrefix = "/papayawheel/v1/customers/";

HttpReply JsonReply(const Json& aBody, int aStatus = 200) {
  HttpReply reply;
  reply.mStatus = aStatus;
  reply.mBody =
      aBody.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return reply;
}

std::string FormatTime(std::chrono::system_clock::time_point aTime) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(aTime)));
}

Json ShareJson(const Share& aShare) {
  return {{"rate_per_second", aShare.mRatePerSecond},
          {"burst", aShare.mBurst},
          {"concurrency", aShare.mConcurrency}};
}

}  // namespace

HttpReply ControlApi::Answer(const HttpExchange& aExchange) {
  const std::string target = aExchange.Target();
  const std::string path = PathOf(target);
  const std::string call = aExchange.Method() + " " + path;
  if (call == "GET /papayawheel/v1/hosts") {
    return AnswerHosts(target);
  }
  if (call == "GET /papayawheel/v1/outcome") {
    return AnswerOutcome(target);
  }
  if (call == "GET /papayawheel/v1/status") {
    return AnswerStatus();
  }
  if (call == "GET /papayawheel/v1/audit") {
    return AnswerAudit(target);
  }
  if (call == "POST /papayawheel/v1/drain") {
    return AnswerDrain(aExchange);
  }
  if (call == "GET /metrics") {
    return AnswerMetrics();
  }
  if (call == "POST /papayawheel/peer/v1/heartbeat") {
    return HandleHeartbeat(aExchange);
  }
  if (call == "GET /papayawheel/peer/v1/configuration") {
    return AnswerConfiguration(target);
  }
  if (call == "POST /papayawheel/peer/v1/configuration") {
    return HandleConfiguration(aExchange);
  }
  if (call == "POST /papayawheel/peer/v1/crashes") {
    return HandleCrashes(aExchange);
  }
  if (aExchange.Method() == "GET" && path.starts_with(kCustomerPrefix)) {
    return AnswerCustomer(path.substr(kCustomerPrefix.size()));
  }
  return JsonReply(
      {{"error", "not_found"},
       {"message",
        fmt::format("\"{}\" is not a request that a host answers", call)}},
      404);
}

HttpReply ControlApi::AnswerHosts(const std::string& aTarget) {
  const std::string customer = QueryField(aTarget, "customer");
  const TimePoint now = mWorker.Now();
  const Configuration& configuration = *mWorker.mEngine.Store().InForce();
  std::vector<HostChoice> choices;
  mWorker.mState.WithEngine([&](CallEngine& aEngine) {
    const DirectorySelf self{
        mWorker.mState.Identity().mName, aEngine.Outcomes().KeyPrefix(now),
        aEngine.IsReady(now) && !mWorker.mState.IsDraining()};
    const HostDirectory directory(configuration, mWorker.mEngine.Membership(),
                                  self);
    choices = directory.Choose(aEngine.Ledger().SplitOf(customer), customer,
                               QueryField(aTarget, "data_centre"), now);
  });
  if (choices.empty()) {
    return ErrorReply(ErrorKind::HostNotReady, std::chrono::milliseconds(200),
                      "no known host is ready to serve calls");
  }
  Json hosts = Json::array();
  for (const HostChoice& choice : choices) {
    hosts.push_back({{"name", choice.mName},
                     {"address", choice.mAddress},
                     {"weight", choice.mWeight},
                     {"key_prefix", choice.mKeyPrefix}});
  }
  return JsonReply(
      {{"hosts", hosts},
       {"keep_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       kDirectoryAnswerTtl)
                       .count()},
       {"revision", configuration.mRevision}});
}

HttpReply ControlApi::AnswerOutcome(const std::string& aTarget) {
  const std::string keyText = QueryField(aTarget, "key");
  const auto key = ParseRequestKey(keyText);
  if (!key) {
    return ErrorReply(ErrorKind::KeyMalformed, Duration::zero(), "");
  }
  if (key->mHost != mWorker.mState.Identity().mName) {
    return ErrorReply(
        ErrorKind::KeyOwnerUnreachable, Duration::zero(),
        fmt::format("ask host \"{}\", which owns the key", key->mHost));
  }
  const KeyDecision decision =
      mWorker.mState.WithEngine([&](CallEngine& aEngine) {
        return aEngine.FindOutcome(keyText, mWorker.Now());
      });
  switch (decision.mVerdict) {
    case KeyVerdict::Run:
      return JsonReply({{"outcome", "unused"},
                        {"message", "The key has not been used here yet."}});
    case KeyVerdict::Refused:
      return ErrorReply(decision.mError, Duration::zero(), "");
    case KeyVerdict::Known:
      break;
  }
  if (decision.mRecord.mResponse == nullptr) {
    return ErrorReply(decision.mRecord.mError, Duration::zero(), "");
  }
  return CallerReply(
      AnswerAction{0, decision.mRecord.mResponse, ErrorKind::BadRequest, {}});
}

HttpReply ControlApi::AnswerStatus() {
  const TimePoint now = mWorker.Now();
  const ConfigStore& store = mWorker.mEngine.Store();
  Json hosts = Json::object();
  for (const auto& [name, host] : store.InForce()->mHosts) {
    if (name == mWorker.mState.Identity().mName) {
      continue;
    }
    const auto* last = mWorker.mEngine.Membership().LastHeartbeatOf(name);
    hosts[name] = {
        {"address", host.mAddress},
        {"data_centre", host.mDataCentre},
        {"published", host.mState == NodeState::Live ? "live" : "leaving"},
        {"belief",
         HostStatusName(mWorker.mEngine.Membership().StatusOf(name, now))},
        {"revision", last == nullptr ? 0 : last->mHeartbeat.mRevision}};
  }
  Json refused = nullptr;
  if (store.RefusedRevision() > store.Revision()) {
    refused = {{"revision", store.RefusedRevision()},
               {"reason", store.RefusedReason()}};
  }
  Json status{
      {"host", mWorker.mState.Identity().mName},
      {"data_centre", mWorker.mState.Identity().mDataCentre},
      {"revision", store.Revision()},
      {"in_force_since",
       store.Revision() == 0 ? Json() : Json(FormatTime(store.InForceSince()))},
      {"refused", refused},
      {"leaving", mWorker.mState.IsDraining()},
      {"watches_platform", mWorker.mEngine.IsWatcher(now)},
      {"control_bytes", mWorker.mEngine.Budget().TotalBytes()},
      {"hosts", hosts}};
  mWorker.mState.WithEngine([&](CallEngine& aEngine) {
    status["ready"] = aEngine.IsReady(now);
    status["in_flight"] = aEngine.InFlight();
    status["obeyed_revision"] = aEngine.Ledger().Report(now).mAppliedRevision;
    status["shares_settled"] = aEngine.Ledger().IsConverged();
  });
  return JsonReply(status);
}

HttpReply ControlApi::AnswerCustomer(const std::string& aCustomer) {
  const Configuration& configuration = *mWorker.mEngine.Store().InForce();
  const auto found = configuration.mContracts.find(aCustomer);
  if (found == configuration.mContracts.end()) {
    return ErrorReply(ErrorKind::UnknownCustomer, Duration::zero(),
                      fmt::format("customer \"{}\"", aCustomer));
  }
  const Contract& contract = found->second;
  Json answer{{"customer", aCustomer},
              {"revision", configuration.mRevision},
              {"contract",
               {{"rate_per_second", contract.mRatePerSecond},
                {"burst", contract.mBurst},
                {"concurrency", contract.mConcurrency},
                {"priority", contract.mPriority},
                {"services", contract.mServices}}}};
  mWorker.mState.WithEngine([&](CallEngine& aEngine) {
    answer["share_here"] =
        ShareJson(aEngine.Ledger().EffectiveShare(aCustomer));
    answer["homes"] = aEngine.Ledger().SplitOf(aCustomer)->mHolders;
    const auto refusal = aEngine.Refusals().find(aCustomer);
    if (refusal != aEngine.Refusals().end()) {
      const ErrorAnswer& error = AnswerOf(refusal->second.mError);
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
          mWorker.Now() - refusal->second.mAt);
      answer["last_refusal"] = {{"error", error.mName},
                                {"message", error.mMessage},
                                {"age_ms", age.count()},
                                {"refusals", refusal->second.mCount}};
    }
  });
  return JsonReply(answer);
}

HttpReply ControlApi::AnswerAudit(const std::string& aTarget) {
  Json entries = Json::array();
  for (const AuditEntry& entry :
       mWorker.mAudit.After(QueryNumber(aTarget, "after"))) {
    entries.push_back({{"sequence", entry.mSequence},
                       {"time", FormatTime(entry.mTime)},
                       {"topic", AuditTopicName(entry.mTopic)},
                       {"revision", entry.mRevision},
                       {"subject", entry.mSubject},
                       {"cause", entry.mCause}});
  }
  return JsonReply({{"entries", entries}});
}

HttpReply ControlApi::AnswerDrain(const HttpExchange& aExchange) {
  const Json body = Json::parse(aExchange.Body(), nullptr, false);
  if (!body.is_object() || !body.contains("leaving") ||
      !body["leaving"].is_boolean()) {
    return ErrorReply(ErrorKind::BadRequest, Duration::zero(),
                      "the body must be {\"leaving\": true} or "
                      "{\"leaving\": false}");
  }
  const bool leaving = body["leaving"].get<bool>();
  mWorker.SetDraining(leaving, "requested by an operator");
  return JsonReply({{"leaving", leaving}});
}

HttpReply ControlApi::AnswerMetrics() {
  const TimePoint now = mWorker.Now();
  CallCounts counts;
  std::size_t inFlight = 0;
  std::uint64_t probes = 0;
  mWorker.mState.WithEngine([&](CallEngine& aEngine) {
    counts = aEngine.Counts();
    inFlight = aEngine.InFlight();
    probes = aEngine.Probes();
  });
  const auto gauge = [](const std::string& aName, const std::string& aHelp,
                        double aValue) {
    return RenderMetric("papayawheel_" + aName, "gauge", aHelp, aValue);
  };
  HttpReply reply;
  reply.mContentType = "text/plain; version=0.0.4";
  reply.mBody =
      RenderCounter("calls_total", "Calls that arrived.", counts.mArrived) +
      RenderCounter("answered_total", "Calls that were answered.",
                    counts.mAnswered) +
      RenderCounter("not_run_total", "Calls that were not run.",
                    counts.mNotRun) +
      RenderCounter("unknown_total", "Calls whose outcome is unknown.",
                    counts.mUnknown) +
      RenderCounter("retries_total", "Attempts after the first one of a call.",
                    counts.mRetries) +
      RenderCounter("passed_on_total", "Calls forwarded to another host.",
                    counts.mForwarded) +
      RenderCounter("shed_total", "Calls that a full endpoint refused.",
                    counts.mShed) +
      RenderCounter(
          "probes_total",
          "Calls sent to endpoints that were full by their last report.",
          probes) +
      RenderCounter("control_bytes_total",
                    "Bytes of control traffic, sent and received.",
                    mWorker.mEngine.Budget().TotalBytes()) +
      gauge("in_flight", "Calls in flight.", static_cast<double>(inFlight)) +
      gauge("revision", "Revision of the configuration in force.",
            static_cast<double>(mWorker.mEngine.Store().Revision())) +
      gauge("ready", "1 while the host serves calls.",
            mWorker.mEngine.IsViewFresh(now) ? 1 : 0);
  reply.mBody +=
      "# HELP papayawheel_errors_total Calls by kind of error.\n"
      "# TYPE papayawheel_errors_total counter\n";
  for (const auto& [error, count] : counts.mErrors) {
    reply.mBody += fmt::format("papayawheel_errors_total{{kind=\"{}\"}} {}\n",
                               AnswerOf(error).mName, count);
  }
  reply.mBody += mWorker.mState.Latencies().Render();
  return reply;
}

HttpReply ControlApi::HandleHeartbeat(const HttpExchange& aExchange) {
  const auto heartbeat = ReadHeartbeat(aExchange.Body());
  if (!heartbeat) {
    return ErrorReply(ErrorKind::BadRequest, Duration::zero(),
                      "the heartbeat is malformed");
  }
  const TimePoint now = mWorker.Now();
  mWorker.mEngine.NoteBytes(aExchange.Body().size() * 4, now);
  mWorker.mState.WithEngine([&](CallEngine& aEngine) {
    aEngine.NoteQuarantines(heartbeat->mQuarantines, now);
  });
  mWorker.Perform(mWorker.mEngine.HeartbeatArrived(*heartbeat, now));
  HttpReply reply;
  reply.mBody = WriteHeartbeat(mWorker.OwnHeartbeat());
  return reply;
}

HttpReply ControlApi::AnswerConfiguration(const std::string& aTarget) {
  HttpReply reply;
  reply.mBody = WriteChanges(mWorker.mEngine.Store().SnapshotInForce(),
                             QueryNumber(aTarget, "base"));
  mWorker.mEngine.NoteBytes(reply.mBody.size(), mWorker.Now());
  return reply;
}

HttpReply ControlApi::HandleConfiguration(const HttpExchange& aExchange) {
  const TimePoint now = mWorker.Now();
  mWorker.mEngine.NoteBytes(aExchange.Body().size(), now);
  mWorker.Perform(mWorker.mEngine.ConfigurationArrived(
      aExchange.Body(), "a push by another host", now));
  return JsonReply({{"revision", mWorker.mEngine.Store().Revision()}});
}

HttpReply ControlApi::HandleCrashes(const HttpExchange& aExchange) {
  const Json list = Json::parse(aExchange.Body(), nullptr, false);
  if (!list.is_array()) {
    return ErrorReply(ErrorKind::BadRequest, Duration::zero(),
                      "the list of crash reports is malformed");
  }
  for (const Json& item : list) {
    if (!item.is_object() || !item.contains("fingerprint") ||
        !item["fingerprint"].is_number_unsigned() ||
        !item.contains("endpoint") || !item["endpoint"].is_string()) {
      continue;
    }
    const CrashReport report{item["fingerprint"].get<std::uint64_t>(),
                             item["endpoint"].get<std::string>(),
                             item.value("cleared", false)};
    mWorker.mState.WithEngine([&](CallEngine& aEngine) {
      aEngine.NoteRemoteCrash(report, mWorker.Now());
    });
  }
  return JsonReply({{"taken", list.size()}});
}

}  // namespace papayawheel
