// Stands in for a faulty network: forwards TCP connections to one address.
// Requests to its control address make it delay, stall or reset them.
#include <fmt/format.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "core/config/address.h"
#include "drivers/http_server.h"
#include "drivers/log.h"
#include "drivers/program_settings.h"
#include "servers/http_status.h"
#include "servers/query.h"
#include "standins/stand_in_server.h"

namespace {

using namespace papayawheel;
using Json = nlohmann::json;
using asio::ip::tcp;

/** Faults of the link, which apply to all its connections. */
struct LinkFaults {
  /** Delay of each block of data that is read. */
  std::chrono::milliseconds mDelay{0};
  /** Holds back data to the target for as long as this is set. */
  bool mStallsToTarget = false;
  /** Holds back data from the target for as long as this is set. */
  bool mStallsFromTarget = false;
  /** Resets new connections at once. */
  bool mResetsNewConnections = false;
};

/** A connection of a caller and the connection to the target that belongs to
 * it. */
class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
 public:
  LinkConnection(tcp::socket aCallerSocket, const LinkFaults& aFaults)
      : mCallerSocket(std::move(aCallerSocket)),
        mTargetSocket(mCallerSocket.get_executor()),
        mFaults(aFaults),
        mToTarget{mCallerSocket,
                  mTargetSocket,
                  asio::steady_timer(mCallerSocket.get_executor()),
                  {}},
        mFromTarget{mTargetSocket,
                    mCallerSocket,
                    asio::steady_timer(mCallerSocket.get_executor()),
                    {}} {}

  void Start(const tcp::endpoint& aTarget) {
    mTargetSocket.async_connect(
        aTarget, [self = shared_from_this()](const asio::error_code& aError) {
          if (aError) {
            self->Reset();
            return;
          }
          self->Read(self->mToTarget);
          self->Read(self->mFromTarget);
        });
  }

  /** Resets both connections, as the crash of a process does. */
  void Reset() {
    for (tcp::socket* socket : {&mCallerSocket, &mTargetSocket}) {
      asio::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    mToTarget.mTimer.cancel();
    mFromTarget.mTimer.cancel();
  }

  [[nodiscard]] bool IsOpen() const { return mCallerSocket.is_open(); }

 private:
  static constexpr std::size_t kBufferBytes = 16'384;
  /** How often a stalled direction checks whether the fault has ended. */
  static constexpr std::chrono::milliseconds kHoldPollInterval{20};

  struct Direction {
    tcp::socket& mFrom;
    tcp::socket& mTo;
    asio::steady_timer mTimer;
    std::array<char, kBufferBytes> mBuffer;
  };

  void Read(Direction& aDirection) {
    aDirection.mFrom.async_read_some(
        asio::buffer(aDirection.mBuffer),
        [self = shared_from_this(), &aDirection](const asio::error_code& aError,
                                                 std::size_t aBytes) {
          if (aError) {
            self->End(aDirection);
          } else {
            self->Hold(aDirection, aBytes, self->mFaults.mDelay);
          }
        });
  }

  void Hold(Direction& aDirection, std::size_t aBytes,
            std::chrono::milliseconds aTime) {
    aDirection.mTimer.expires_after(aTime);
    aDirection.mTimer.async_wait([self = shared_from_this(), &aDirection,
                                  aBytes](const asio::error_code& aError) {
      if (aError) {
        return;
      }
      if (self->IsStalled(aDirection)) {
        self->Hold(aDirection, aBytes, kHoldPollInterval);
      } else {
        self->Write(aDirection, aBytes);
      }
    });
  }

  void Write(Direction& aDirection, std::size_t aBytes) {
    asio::async_write(
        aDirection.mTo, asio::buffer(aDirection.mBuffer.data(), aBytes),
        [self = shared_from_this(), &aDirection](const asio::error_code& aError,
                                                 std::size_t /*aBytes*/) {
          if (aError) {
            self->Reset();
          } else {
            self->Read(aDirection);
          }
        });
  }

  void End(Direction& aDirection) {
    if (IsStalled(aDirection)) {
      // A stalled link does not forward the end of a connection either.
      aDirection.mTimer.expires_after(kHoldPollInterval);
      aDirection.mTimer.async_wait([self = shared_from_this(), &aDirection](
                                       const asio::error_code& aError) {
        if (!aError) {
          self->End(aDirection);
        }
      });
      return;
    }
    asio::error_code ignored;
    mCallerSocket.close(ignored);
    mTargetSocket.close(ignored);
    mToTarget.mTimer.cancel();
    mFromTarget.mTimer.cancel();
  }

  [[nodiscard]] bool IsStalled(const Direction& aDirection) const {
    return &aDirection == &mToTarget ? mFaults.mStallsToTarget
                                     : mFaults.mStallsFromTarget;
  }

  tcp::socket mCallerSocket;
  tcp::socket mTargetSocket;
  const LinkFaults& mFaults;
  Direction mToTarget;
  Direction mFromTarget;
};

class Link {
 public:
  Link(asio::io_context& aContext, tcp::endpoint aTarget)
      : mAcceptor(aContext), mTarget(std::move(aTarget)) {}

  std::optional<std::string> Listen(const tcp::endpoint& aAddress) {
    asio::error_code error;
    mAcceptor.open(aAddress.protocol(), error);
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
    mAcceptor.bind(aAddress, error);
    if (!error) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return error.message();
    }
    Accept();
    return std::nullopt;
  }

  /** Handles PUT /fault, which replaces all faults by those in the body, and
   * PUT /reset, which resets the open connections. */
  void Control(const HttpExchangePtr& aExchange) {
    HttpReply reply;
    const std::string path = PathOf(aExchange->Target());
    const Json body = Json::parse(aExchange->Body(), nullptr, false);
    if (path == "/reset") {
      for (const auto& connection : mConnections) {
        connection->Reset();
      }
    } else if (path == "/fault" && body.is_object()) {
      mFaults.mDelay = std::chrono::milliseconds(body.value("delay_ms", 0));
      mFaults.mStallsToTarget = body.value("silent_there", false);
      mFaults.mStallsFromTarget = body.value("silent_back", false);
      mFaults.mResetsNewConnections = body.value("refuses", false);
    } else {
      reply.mStatus = http_status::kBadRequest;
    }
    aExchange->Reply(reply);
  }

 private:
  void Accept() {
    mAcceptor.async_accept(
        [this](const asio::error_code& aError, tcp::socket aSocket) {
          if (!aError) {
            AddConnection(std::move(aSocket));
          }
          Accept();
        });
  }

  void AddConnection(tcp::socket aSocket) {
    std::erase_if(mConnections,
                  [](const auto& aOne) { return !aOne->IsOpen(); });
    const auto connection =
        std::make_shared<LinkConnection>(std::move(aSocket), mFaults);
    if (mFaults.mResetsNewConnections) {
      connection->Reset();
      return;
    }
    mConnections.insert(connection);
    connection->Start(mTarget);
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mTarget;
  LinkFaults mFaults;
  std::set<std::shared_ptr<LinkConnection>> mConnections;
};

tcp::endpoint ToEndpoint(const std::string& aAddress) {
  const Address address = *ParseAddress(aAddress);
  return tcp::endpoint(asio::ip::make_address(address.mIp), address.mPort);
}

}  // namespace

int main(int aCount, char** aArguments) {
  ProgramSettings settings("papayawheel-standin-faulty-link",
                           "stands in for a faulty network");
  settings.Add("address", std::nullopt, "IP number and port to listen on",
               CheckAddress);
  settings.Add("target", std::nullopt,
               "address that connections are forwarded to", CheckAddress);
  settings.Add("control", std::nullopt,
               "IP number and port to set its faults at", CheckAddress);
  if (const auto code = settings.Parse(aCount, aArguments)) {
    return *code;
  }
  asio::io_context context(1);
  Link link(context, ToEndpoint(settings.Text("target")));
  if (const auto reason = link.Listen(ToEndpoint(settings.Text("address")))) {
    Log(LogLevel::Error, "cannot_listen", {{"reason", *reason}});
    return kExitFailure;
  }
  return ServeStandIn(
      context, settings.Text("control"),
      [&](const HttpExchangePtr& aExchange) { link.Control(aExchange); });
}
