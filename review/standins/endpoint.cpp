// Stands in for a sound upstream of a service, as PROTOCOL.md describes it:
// checks that a request is meant for it, runs a number of requests at once and
// queues a few more, echoes the request id, stamps its answers, reports its
// load, and drops a request whose connection closes. Bodies may have any
// length. Prints one line for each event.
//
// Usage: endpoint ID IP:PORT SLOTS
// The query parameter work=N of a request sets its service time to N ms. With
// late=1 it works on the request before it reads the rest of its body.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kReadSize = 65536;
constexpr milliseconds kDefaultWork{50};
constexpr milliseconds kDefaultDeadline{10'000};
/** Interval at which a running request checks whether its connection closed. */
constexpr milliseconds kCloseCheckInterval{5};
constexpr int kBacklog = 256;
/** Requests that may wait for a slot. */
constexpr int kMaxQueued = 24;

struct Request {
  std::string mMethod;
  std::string mTarget;
  /** By name in lower case. */
  std::map<std::string, std::string> mHeaders;
  std::size_t mBodySize = 0;
};

std::string sId;
int sSlots = 1;
std::atomic<int> sRunning{0};
std::atomic<int> sQueued{0};

void LogEvent(const std::string& aEvent, const std::string& aRequest) {
  const auto now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::printf("at_ms=%lld upstream=%s event=%s request=%s\n",
              static_cast<long long>(now.count()), sId.c_str(), aEvent.c_str(),
              aRequest.c_str());
  std::fflush(stdout);
}

std::string ToLower(std::string aText) {
  std::transform(aText.begin(), aText.end(), aText.begin(),
                 [](unsigned char aByte) { return std::tolower(aByte); });
  return aText;
}

std::string Trim(const std::string& aText) {
  const auto first = aText.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return "";
  }
  return aText.substr(first, aText.find_last_not_of(" \t\r") - first + 1);
}

std::string ValueOr(const Request& aRequest, const std::string& aName,
                    const std::string& aDefault) {
  const auto found = aRequest.mHeaders.find(aName);
  return found == aRequest.mHeaders.end() ? aDefault : found->second;
}

Request ParseHead(const std::string& aHead) {
  Request request;
  std::size_t start = 0;
  bool isFirst = true;
  while (start < aHead.size()) {
    const std::size_t end = std::min(aHead.find('\n', start), aHead.size());
    const std::string line = Trim(aHead.substr(start, end - start));
    start = end + 1;
    if (isFirst) {
      const auto space = line.find(' ');
      request.mMethod = line.substr(0, space);
      request.mTarget = line.substr(space + 1, line.rfind(' ') - space - 1);
      isFirst = false;
    } else if (const auto colon = line.find(':'); colon != std::string::npos) {
      request.mHeaders[ToLower(line.substr(0, colon))] =
          Trim(line.substr(colon + 1));
    }
  }
  request.mBodySize = static_cast<std::size_t>(
      std::atoll(ValueOr(request, "content-length", "0").c_str()));
  return request;
}

/** Reads the head of a request; what follows it stays in aBuffer. Returns
 * nothing when the connection ends. */
std::optional<Request> ReadHead(int aSocket, std::string& aBuffer) {
  std::string piece(kReadSize, '\0');
  std::size_t headEnd = std::string::npos;
  while ((headEnd = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t size = recv(aSocket, piece.data(), piece.size(), 0);
    if (size <= 0) {
      return std::nullopt;
    }
    aBuffer.append(piece.data(), static_cast<std::size_t>(size));
  }
  const Request request = ParseHead(aBuffer.substr(0, headEnd));
  aBuffer.erase(0, headEnd + 4);
  return request;
}

/** Reads the body of a request. Returns false when the connection ends. */
bool ReadBody(int aSocket, const Request& aRequest, std::string& aBuffer) {
  std::string piece(kReadSize, '\0');
  std::size_t left = aRequest.mBodySize;
  const std::size_t buffered = std::min(left, aBuffer.size());
  aBuffer.erase(0, buffered);
  left -= buffered;
  while (left > 0) {
    const ssize_t size =
        recv(aSocket, piece.data(), std::min(left, piece.size()), 0);
    if (size <= 0) {
      return false;
    }
    left -= static_cast<std::size_t>(size);
  }
  return true;
}

bool SendAnswer(int aSocket, const Request& aRequest, const std::string& aLine,
                const std::string& aExtraHeader) {
  const std::string id = ValueOr(aRequest, "papayawheel-request-id", "");
  const std::string body =
      sId + " " + aRequest.mMethod + " " + aRequest.mTarget + "\n";
  std::string text = "HTTP/1.1 " + aLine + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "Papayawheel-Instance-Id: " + sId + "\r\n";
  text += "Papayawheel-Server-Load: " + std::to_string(sRunning.load()) + "," +
          std::to_string(sQueued.load()) + "," + std::to_string(sSlots) +
          ",100\r\n";
  text += id.empty() ? "" : "Papayawheel-Request-Id: " + id + "\r\n";
  text += aExtraHeader + "\r\n" + body;
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size =
        send(aSocket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool IsClosed(int aSocket) {
  pollfd waiting{aSocket, POLLIN | POLLRDHUP, 0};
  if (poll(&waiting, 1, 0) <= 0) {
    return false;
  }
  char byte = 0;
  return recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 ||
         (waiting.revents & (POLLERR | POLLHUP)) != 0;
}

milliseconds WorkOf(const Request& aRequest) {
  const auto found = aRequest.mTarget.find("work=");
  return found == std::string::npos
             ? kDefaultWork
             : milliseconds(std::atoll(aRequest.mTarget.c_str() + found + 5));
}

/** Takes a slot, and waits for one if none is free. Returns false if too many
 * requests wait already. */
bool TakeSlot() {
  if (sQueued.fetch_add(1) >= kMaxQueued) {
    --sQueued;
    return false;
  }
  int running = sRunning.load();
  while (running >= sSlots ||
         !sRunning.compare_exchange_weak(running, running + 1)) {
    std::this_thread::sleep_for(kCloseCheckInterval);
    running = sRunning.load();
  }
  --sQueued;
  return true;
}

/** Works on a request. Returns false if its connection closed meanwhile. */
bool Work(int aSocket, milliseconds aTime) {
  const auto end = steady_clock::now() + aTime;
  while (steady_clock::now() < end) {
    if (IsClosed(aSocket)) {
      return false;
    }
    std::this_thread::sleep_for(kCloseCheckInterval);
  }
  return true;
}

/** Runs a request, which has a slot, and answers it. Returns whether the
 * connection lives on. */
bool Run(int aSocket, const Request& aRequest, const std::string& aId,
         std::string& aBuffer) {
  const bool readsLate = aRequest.mTarget.find("late=1") != std::string::npos;
  bool isWhole = readsLate || ReadBody(aSocket, aRequest, aBuffer);
  LogEvent("run", aId);
  const milliseconds deadline(
      std::atoll(ValueOr(aRequest, "papayawheel-deadline-ms",
                         std::to_string(kDefaultDeadline.count()))
                     .c_str()));
  const bool inTime = WorkOf(aRequest) <= deadline;
  const bool done =
      isWhole && Work(aSocket, std::min(WorkOf(aRequest), deadline));
  if (done && readsLate) {
    isWhole = ReadBody(aSocket, aRequest, aBuffer);
  }
  --sRunning;
  LogEvent(!isWhole  ? "body_cut"
           : !done   ? "dropped"
           : !inTime ? "deadline"
                     : "done",
           aId);
  const std::string stamp =
      "Papayawheel-Response-Stamp: " + sId + "." + aId + "\r\n";
  return done && isWhole &&
         SendAnswer(aSocket, aRequest,
                    inTime ? "200 OK" : "504 Gateway Timeout", stamp);
}

/** Handles the next request of a connection. Returns whether the connection
 * lives on. */
bool HandleNext(int aSocket, std::string& aBuffer) {
  const auto request = ReadHead(aSocket, aBuffer);
  if (!request) {
    return false;
  }
  const std::string id = ValueOr(*request, "papayawheel-request-id", "");
  const std::string notRun = "Papayawheel-Not-Executed: 1\r\n";
  const bool isHealth = request->mTarget == "/health";
  const bool isMine =
      ValueOr(*request, "papayawheel-expect-instance", sId) == sId;
  if (isHealth || !isMine || id.empty()) {
    const std::string line = isHealth  ? "200 OK"
                             : !isMine ? "421 Misdirected Request"
                                       : "400 Bad Request";
    return ReadBody(aSocket, *request, aBuffer) &&
           SendAnswer(aSocket, *request, line, isHealth ? "" : notRun);
  }
  LogEvent("arrives", id);
  if (!TakeSlot()) {
    return ReadBody(aSocket, *request, aBuffer) &&
           SendAnswer(aSocket, *request, "503 Service Unavailable", notRun);
  }
  return Run(aSocket, *request, id, aBuffer);
}

void Serve(int aSocket) {
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buffer;
  while (HandleNext(aSocket, buffer)) {
  }
  close(aSocket);
}

}  // namespace

int main(int aCount, char** aArguments) {
  if (aCount != 4) {
    std::fprintf(stderr, "usage: endpoint ID IP:PORT SLOTS\n");
    return 2;
  }
  sId = aArguments[1];
  const std::string address = aArguments[2];
  sSlots = std::atoi(aArguments[3]);
  std::signal(SIGPIPE, SIG_IGN);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  const auto colon = address.find(':');
  local.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &local.sin_addr);
  if (bind(listener, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0 ||
      listen(listener, kBacklog) != 0) {
    std::perror("endpoint: cannot listen");
    return 1;
  }
  while (true) {
    const int connection = accept(listener, nullptr, nullptr);
    if (connection >= 0) {
      std::thread(Serve, connection).detach();
    }
  }
}
