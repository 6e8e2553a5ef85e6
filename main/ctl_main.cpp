#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "drivers/http_client.h"
#include "drivers/program_settings.h"

namespace {

using namespace papayawheel;

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr const char* kExplainRoute = "explain-route";

std::optional<HttpCall> ParseCommand(
    const std::vector<std::string>& aArguments) {
  HttpCall call;
  call.mTimeout = kTimeout;
  const std::string command = aArguments.empty() ? "" : aArguments[0];
  if (command == "status" && aArguments.size() == 1) {
    call.mTarget = "/papayawheel/v1/status";
  } else if (command == "audit" && aArguments.size() == 1) {
    call.mTarget = "/papayawheel/v1/audit";
  } else if (command == "metrics" && aArguments.size() == 1) {
    call.mTarget = "/metrics";
  } else if (command == "customer" && aArguments.size() == 2) {
    call.mTarget = "/papayawheel/v1/customers/" + aArguments[1];
  } else if (command == "outcome" && aArguments.size() == 2) {
    call.mTarget = "/papayawheel/v1/outcome?key=" + aArguments[1];
  } else if (command == "hosts" && aArguments.size() == 2) {
    call.mTarget = "/papayawheel/v1/hosts?customer=" + aArguments[1];
  } else if ((command == "drain" || command == "undrain") &&
             aArguments.size() == 1) {
    call.mMethod = "POST";
    call.mTarget = "/papayawheel/v1/drain";
    call.mBody = nlohmann::json{{"leaving", command == "drain"}}.dump();
  } else if (command == kExplainRoute && aArguments.size() == 4) {
    call.mMethod = "POST";
    call.mTarget = "/explain-route";
    call.mBody =
        nlohmann::json{{"host", aArguments[1]},
                       {"method", aArguments[2]},
                       {"path", aArguments[3]}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  } else {
    return std::nullopt;
  }
  return call;
}

void Print(const std::string& aBody) {
  const auto value = nlohmann::json::parse(aBody, nullptr, false);
  fmt::print("{}\n", value.is_discarded() ? aBody : value.dump(2));
}

/** Prints an explanation as text: one line for the request and one for each
 * endpoint. Returns false if it is malformed. */
bool PrintExplanation(const std::string& aBody) {
  const auto value = nlohmann::json::parse(aBody, nullptr, false);
  if (!value.is_object() || !value.contains("endpoints")) {
    return false;
  }
  const auto printFields = [](const nlohmann::json& aObject) {
    std::string line;
    for (const auto& [name, field] : aObject.items()) {
      if (!field.is_array()) {
        line += fmt::format(
            "{}{}={}", line.empty() ? "" : " ", name,
            field.is_string() ? field.get<std::string>() : field.dump());
      }
    }
    fmt::print("{}\n", line);
  };
  printFields(value);
  for (const auto& endpoint : value["endpoints"]) {
    printFields(endpoint);
  }
  return true;
}

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-ctl",
                           "queries and controls an entry host");
  settings.Add("host", std::nullopt, "address of the entry host", CheckAddress);
  settings.AllowPositional(
      "status | customer NAME | hosts NAME | outcome KEY | audit | metrics | "
      "drain | undrain, or of a gateway's control address: explain-route "
      "HOST-NAME METHOD PATH");
  settings.AddSwitch("json", "print the answer of explain-route as JSON");
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  std::optional<HttpCall> call = ParseCommand(settings.PositionalArguments());
  if (!call) {
    fmt::print(stderr, "papayawheel-ctl: unknown command; see --help\n");
    return kExitBadSettings;
  }
  call->mAddress = settings.Text("host");
  asio::io_context context;
  HttpClient client(context);
  HttpResult result;
  client.Send(*call, [&](HttpResult aResult) {
    result = std::move(aResult);
    context.stop();
  });
  context.run();
  if (result.mKind != HttpResultKind::Answered) {
    fmt::print(stderr, "papayawheel-ctl: host {} did not answer\n",
               call->mAddress);
    return kExitFailure;
  }
  const bool isExplanation =
      settings.PositionalArguments().front() == kExplainRoute;
  if (isExplanation && result.mStatus >= 400) {
    fmt::print(stderr, "papayawheel-ctl: status {}: {}\n", result.mStatus,
               result.mBody);
    return kExitFailure;
  }
  if (isExplanation && settings.Text("json") != "true") {
    if (!PrintExplanation(result.mBody)) {
      fmt::print(stderr, "papayawheel-ctl: malformed answer\n");
      return kExitFailure;
    }
    return kExitOk;
  }
  Print(result.mBody);
  return result.mStatus < 400 ? kExitOk : kExitFailure;
}
