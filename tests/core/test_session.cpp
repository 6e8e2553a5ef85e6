#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include "core/entry/call_engine.h"
#include "tests/fake_clock.h"
#include "tests/sample_configuration.h"

namespace papayawheel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records every event of a session and the actions of the engine. */
class Session {
 public:
  Session() : mEngine(HostIdentity{"h0", "dc0", 7}, mClock.Now()) {
    Configuration configuration =
        SampleConfiguration(3, 2, SampleContract(10, 3, 2));
    configuration.mServices.at("orders").mProbesPerSecond = 100;
    configuration.mContracts["guests"] =
        Contract{"guests", 1000, 100, 100, 9, {"orders"}};
    mEngine.Apply(MakeSharedConfiguration(configuration), mClock.Now());
    mEngine.SetReady(true);
  }

  void Wait(milliseconds aTime) {
    Write(fmt::format("wait {} ms", aTime.count()));
    for (milliseconds passed{0}; passed < aTime; passed += milliseconds(10)) {
      mClock.Advance(milliseconds(10));
      mEngine.NoteControlIteration(mClock.Now());
      Write(mEngine.Tick(mClock.Now()));
    }
  }

  void HostsReport() {
    Write("hosts h1 and h2 report that they obey revision 1");
    for (const char* host : {"h1", "h2"}) {
      mEngine.Ledger().HostReported(host, LedgerReport{1, 0}, mClock.Now(),
                                    mClock.Now());
    }
  }

  void HostRefuses(const std::string& aHost) {
    Write(fmt::format("host {} refuses a connection", aHost));
    mEngine.Ledger().HostRefused(aHost, mClock.Now(), mClock.Now());
  }

  void Arrive(CallId aId, CallRequest aRequest) {
    aRequest.mService = "orders";
    Write(fmt::format("call {} arrives: {} {} of {}{}{}", aId, aRequest.mMethod,
                      aRequest.mTarget, aRequest.mCustomer,
                      aRequest.mKey.empty() ? "" : " key ", aRequest.mKey));
    Write(mEngine.Arrive(aId, aRequest, mClock.Now()));
  }

  void EndpointAnswers(CallId aId, EndpointResult aResult,
                       const std::string& aBody = "") {
    static const char* const sNames[] = {"answers",         "sheds",
                                         "not connected",   "is lost",
                                         "cuts its answer", "times out"};
    Write(fmt::format("call {}: endpoint {} {}", aId,
                      sNames[static_cast<int>(aResult)], aBody));
    EndpointReply reply;
    reply.mResult = aResult;
    if (aResult == EndpointResult::Answered) {
      auto response = std::make_shared<Response>();
      response->mStatus = 200;
      response->mBody = aBody;
      reply.mResponse = response;
      reply.mReport = LoadReport{1, 0, false};
    }
    Write(mEngine.EndpointReplied(aId, reply, mClock.Now()));
  }

  void HostAnswers(CallId aId, const HostReply& aReply,
                   const std::string& aWhat) {
    Write(fmt::format("call {}: host {}", aId, aWhat));
    Write(mEngine.HostReplied(aId, aReply, mClock.Now()));
  }

  std::string Prefix() { return mEngine.Outcomes().KeyPrefix(mClock.Now()); }
  [[nodiscard]] std::string Text() const { return mText.str(); }

 private:
  void Write(const std::string& aLine) { mText << aLine << '\n'; }

  void Write(const CallActions& aActions) {
    for (const CallAction& action : aActions) {
      if (const auto* answer = std::get_if<AnswerAction>(&action)) {
        Write(Describe(*answer));
      } else if (const auto* send =
                     std::get_if<SendToEndpointAction>(&action)) {
        Write(fmt::format("  -> call {} to endpoint {} attempt {} within {} us",
                          send->mCall, send->mEndpoint, send->mAttempt,
                          send->mTimeout.count()));
      } else if (const auto* pass = std::get_if<SendToHostAction>(&action)) {
        Write(fmt::format("  -> call {} to host {} for {} within {} us",
                          pass->mCall, pass->mHost,
                          HopReasonName(pass->mHopReason),
                          pass->mTimeout.count()));
      } else if (const auto* cancel = std::get_if<CancelAction>(&action)) {
        Write(fmt::format("  -> cancel call {}", cancel->mCall));
      }
    }
  }

  static std::string Describe(const AnswerAction& aAnswer) {
    if (aAnswer.mResponse != nullptr) {
      return fmt::format("  => call {} answered {} \"{}\"", aAnswer.mCall,
                         aAnswer.mResponse->mStatus, aAnswer.mResponse->mBody);
    }
    const ErrorAnswer& error = AnswerOf(aAnswer.mError);
    return fmt::format("  => call {} {} {} {}, retry after {} us",
                       aAnswer.mCall, error.mStatus,
                       OutcomeName(error.mOutcome), error.mName,
                       aAnswer.mRetryAfter.count());
  }

  FakeClock mClock;
  CallEngine mEngine;
  std::ostringstream mText;
};

CallRequest Query(const std::string& aCustomer, const std::string& aTarget) {
  CallRequest request;
  request.mCustomer = aCustomer;
  request.mMethod = "GET";
  request.mTarget = aTarget;
  return request;
}

CallRequest Order(const std::string& aCustomer, const std::string& aKey) {
  CallRequest request = Query(aCustomer, "/order");
  request.mMethod = "POST";
  request.mKey = aKey;
  return request;
}

std::string PlaySession() {
  Session session;
  session.Arrive(1, Query("guests", "/too-early"));
  session.Wait(seconds(5));
  session.HostsReport();
  session.Wait(milliseconds(100));
  session.Arrive(2, Query("guests", "/stock"));
  session.EndpointAnswers(2, EndpointResult::Answered, "three bundles");
  const std::string key = session.Prefix() + "larch-1";
  session.Arrive(3, Order("guests", key));
  session.Arrive(4, Order("guests", key));
  session.EndpointAnswers(3, EndpointResult::Answered, "ordered");
  session.Arrive(5, Order("guests", key));
  const std::string lost = session.Prefix() + "larch-2";
  session.Arrive(6, Order("guests", lost));
  session.EndpointAnswers(6, EndpointResult::Lost);
  session.Arrive(7, Order("guests", lost));
  session.Wait(milliseconds(60));
  session.Arrive(8, Query("guests", "/stock"));
  session.EndpointAnswers(8, EndpointResult::Shed);
  session.EndpointAnswers(8, EndpointResult::NotConnected);
  session.Wait(milliseconds(300));
  session.Arrive(9, Query("roofers", "/stock"));
  session.Arrive(10, Query("roofers", "/stock"));
  HostReply over;
  over.mResult = HostReply::Result::Answered;
  over.mOutcome = Outcome::NotRun;
  over.mError = ErrorKind::OverRate;
  over.mRetryAfter = milliseconds(80);
  session.HostAnswers(10, over, "refuses for its rate");
  session.HostRefuses("h2");
  session.Arrive(11, Order("guests", "h2.5.9.x"));
  session.Arrive(12, Query("strangers", "/stock"));
  session.Wait(milliseconds(100));
  return session.Text();
}

TEST_CASE("a whole session gives the golden decisions and answers") {
  const std::string path = "tests/golden/session.txt";
  const std::string played = PlaySession();
  if (std::getenv("PAPAYAWHEEL_WRITE_GOLDEN") != nullptr) {
    std::ofstream(path) << played;
  }
  std::ifstream file(path);
  REQUIRE(file);
  const std::string golden(std::istreambuf_iterator<char>(file), {});
  CHECK(played == golden);
}

}  // namespace
}  // namespace papayawheel
