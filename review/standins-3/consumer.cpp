// Stands in for consumers. Each sends one request after the other, each on a
// new connection, and prints what it sent and what it got. They send together,
// at multiples of PAUSE_MS, as people do at the full minute.
//
// consumer NAME METHOD PATH IPS PORT COUNT SECONDS PAUSE_MS LIMIT_MS BODY_BYTES
//
// IPS are separated by commas, and the consumers use them in turn. There are
// COUNT consumers, which send for SECONDS, or one request each for 0.
#include <string>
#include <vector>

#include "http_io.h"

namespace {

struct Settings {
  std::string mName;
  std::string mMethod;
  std::string mPath;
  std::vector<std::string> mIps;
  int mPort = 0;
  int mSeconds = 0;
  int mPauseMs = 0;
  int mLimitMs = 0;
  std::size_t mBodyBytes = 0;
};

void Call(const Settings& aSettings, const std::string& aIp,
          const std::string& aId) {
  const auto connection =
      review::Connect(aIp, aSettings.mPort, aSettings.mLimitMs);
  if (connection == nullptr) {
    review::Print("answer request=" + aId +
                  " status=none reason=no_connection");
    return;
  }
  std::string request = aSettings.mMethod + " " + aSettings.mPath +
                        " HTTP/1.1\r\nHost: shop.example\r\n"
                        "Papayawheel-Request-Id: " +
                        aId + "\r\nPapayawheel-Deadline-Ms: " +
                        std::to_string(aSettings.mLimitMs) + "\r\n";
  if (aSettings.mMethod != "GET") {
    request +=
        "Content-Length: " + std::to_string(aSettings.mBodyBytes) + "\r\n";
  }
  review::Print("sends request=" + aId + " to=" + aIp);
  connection->Send(request + "\r\n" + std::string(aSettings.mBodyBytes, 'x'));
  const auto head = connection->ReadHead();
  if (!head) {
    review::Print("answer request=" + aId + " status=none reason=no_answer");
    return;
  }
  const std::size_t length = review::BodyLength(*head);
  const std::string body = connection->ReadBody(length);
  const std::string stamp = review::Field(*head, "Papayawheel-Response-Stamp");
  review::Print("answer request=" + aId + " status=" + review::Word(*head, 1) +
                " stamp=" + (stamp.empty() ? "none" : stamp) + " body=\"" +
                body.substr(0, body.find('\n')) + "\"" +
                (body.size() < length ? " cut" : ""));
}

void Consume(const Settings& aSettings, int aNumber) {
  const std::string& ip =
      aSettings.mIps[static_cast<std::size_t>(aNumber) % aSettings.mIps.size()];
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(aSettings.mSeconds);
  int serial = 0;
  do {
    Call(aSettings, ip,
         aSettings.mName + "-" + std::to_string(aNumber) + "-" +
             std::to_string(++serial));
    const std::int64_t pause = aSettings.mPauseMs;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(pause - review::NowMs() % pause));
  } while (std::chrono::steady_clock::now() < end);
}

}  // namespace

int main(int aCount, char** aArguments) {
  if (aCount != 11) {
    std::fprintf(stderr,
                 "usage: consumer NAME METHOD PATH IPS PORT COUNT "
                 "SECONDS PAUSE_MS LIMIT_MS BODY_BYTES\n");
    return EXIT_FAILURE;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Settings settings;
  settings.mName = aArguments[1];
  settings.mMethod = aArguments[2];
  settings.mPath = aArguments[3];
  const std::string ips = std::string(aArguments[4]) + ",";
  for (std::size_t start = 0; start < ips.size();
       start = ips.find(',', start) + 1) {
    settings.mIps.push_back(ips.substr(start, ips.find(',', start) - start));
  }
  settings.mPort = std::atoi(aArguments[5]);
  settings.mSeconds = std::atoi(aArguments[7]);
  settings.mPauseMs = std::atoi(aArguments[8]);
  settings.mLimitMs = std::atoi(aArguments[9]);
  settings.mBodyBytes = std::stoul(aArguments[10]);
  std::vector<std::thread> consumers;
  for (int number = 1; number <= std::atoi(aArguments[6]); ++number) {
    consumers.emplace_back(Consume, std::cref(settings), number);
  }
  for (std::thread& consumer : consumers) {
    consumer.join();
  }
}
