#pragma once

#include <string>

#include "drivers/http_server.h"
#include "servers/control_worker.h"

namespace papayawheel {

/** Handles HTTP requests that concern the host itself, from callers, operators
 * and other hosts. Must be used on the control thread only. */
class ControlApi {
 public:
  explicit ControlApi(ControlWorker& aWorker) : mWorker(aWorker) {}

  HttpReply Answer(const HttpExchange& aExchange);

 private:
  HttpReply AnswerHosts(const std::string& aTarget);
  HttpReply AnswerOutcome(const std::string& aTarget);
  HttpReply AnswerStatus();
  HttpReply AnswerCustomer(const std::string& aCustomer);
  HttpReply AnswerAudit(const std::string& aTarget);
  HttpReply AnswerDrain(const HttpExchange& aExchange);
  HttpReply AnswerMetrics();
  HttpReply HandleHeartbeat(const HttpExchange& aExchange);
  HttpReply AnswerConfiguration(const std::string& aTarget);
  HttpReply HandleConfiguration(const HttpExchange& aExchange);
  HttpReply HandleCrashes(const HttpExchange& aExchange);

  ControlWorker& mWorker;
};

}  // namespace papayawheel
