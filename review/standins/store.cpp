// Stands in for the platform's store, as PROTOCOL.md describes it: items with
// revisions, which can be read and watched. A watch that is waiting may be cut.
//
// Usage: store IP:PORT
// PUT and DELETE /standin/item?key=KEY write an item and print when the store
// accepted it. PUT /standin/cut ends the connections of all waiting watches.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kReadSize = 65536;
/** Time that an answer takes, as on the users' pages. */
constexpr milliseconds kLatency{4};
constexpr int kBacklog = 256;
constexpr std::size_t kPageItems = 500;

struct Item {
  std::string mValue;
  std::uint64_t mRevision = 0;
  bool mRemoved = false;
};

std::mutex sMutex;
std::condition_variable sChanged;
std::map<std::string, Item> sItems;
std::uint64_t sRevision = 1;
/** Number of times that the waiting watches were cut. */
std::uint64_t sCuts = 0;

std::string EncodeBase64(const std::string& aText) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t start = 0; start < aText.size(); start += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, aText.size() - start);
    for (std::size_t index = 0; index < 3; ++index) {
      const auto byte = index < count ? aText[start + index] : '\0';
      bits = (bits << 8U) | static_cast<unsigned char>(byte);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      const bool isPadding = index > count;
      encoded +=
          isPadding ? '=' : kDigits[(bits >> (18U - 6U * index)) & 0x3FU];
    }
  }
  return encoded;
}

std::string QueryField(const std::string& aTarget, const std::string& aName) {
  for (const char* const before : {"?", "&"}) {
    const auto found = aTarget.find(before + aName + "=");
    if (found != std::string::npos) {
      const std::size_t start = found + aName.size() + 2;
      const std::size_t end =
          std::min(aTarget.find('&', start), aTarget.size());
      return aTarget.substr(start, end - start);
    }
  }
  return "";
}

std::uint64_t QueryNumber(const std::string& aTarget,
                          const std::string& aName) {
  return std::strtoull(QueryField(aTarget, aName).c_str(), nullptr, 10);
}

std::string Render(const std::string& aKey, const Item& aItem) {
  const std::string revision = std::to_string(aItem.mRevision);
  if (aItem.mRemoved) {
    return R"({"key":")" + aKey + R"(","rev":)" + revision +
           R"(,"removed":true})";
  }
  return R"({"key":")" + aKey + R"(","value":")" + EncodeBase64(aItem.mValue) +
         R"(","rev":)" + revision + R"(,"create-revision":)" + revision +
         R"(,"lease":0})";
}

void Write(const std::string& aKey, const std::string& aValue, bool aRemoves) {
  const std::lock_guard lock(sMutex);
  sItems[aKey] = Item{aValue, ++sRevision, aRemoves};
  const auto now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::printf("at_ms=%lld event=%s key=%s revision=%llu\n",
              static_cast<long long>(now.count()),
              aRemoves ? "removed" : "written", aKey.c_str(),
              static_cast<unsigned long long>(sRevision));
  std::fflush(stdout);
  sChanged.notify_all();
}

std::string Read(const std::string& aTarget) {
  const std::lock_guard lock(sMutex);
  const std::string after = QueryField(aTarget, "after");
  std::string items;
  std::size_t count = 0;
  bool hasMore = false;
  for (const auto& [key, item] : sItems) {
    if (item.mRemoved || key <= after) {
      continue;
    }
    if (count == kPageItems) {
      hasMore = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + Render(key, item);
  }
  return R"({"items":[)" + items + R"(],"has-more":)" +
         (hasMore ? "true" : "false") + R"(,"as-of":)" +
         std::to_string(sRevision) + "}";
}

/** Waits for events after a revision. Returns false if the watch was cut. */
bool Watch(const std::string& aTarget, std::string& aBody) {
  const std::uint64_t after = QueryNumber(aTarget, "after");
  const milliseconds wait(QueryNumber(aTarget, "wait-ms"));
  std::unique_lock lock(sMutex);
  const std::uint64_t cuts = sCuts;
  sChanged.wait_for(lock, wait,
                    [&] { return sRevision > after || sCuts != cuts; });
  if (sCuts != cuts) {
    return false;
  }
  std::string events;
  for (const auto& [key, item] : sItems) {
    if (item.mRevision > after) {
      events += (events.empty() ? "" : ",") + Render(key, item);
    }
  }
  aBody = R"({"events":[)" + events + R"(],"as-of":)" +
          std::to_string(sRevision) + "}";
  return true;
}

/** Handles one request. Returns false if its connection is to end. */
bool Handle(const std::string& aMethod, const std::string& aTarget,
            const std::string& aBody, std::string& aAnswer) {
  aAnswer = "{}";
  if (aTarget.starts_with("/kv-range")) {
    aAnswer = Read(aTarget);
  } else if (aTarget.starts_with("/kv-watch")) {
    return Watch(aTarget, aAnswer);
  } else if (aTarget.starts_with("/standin/item")) {
    Write(QueryField(aTarget, "key"), aBody, aMethod == "DELETE");
  } else if (aTarget.starts_with("/standin/cut")) {
    const std::lock_guard lock(sMutex);
    ++sCuts;
    sChanged.notify_all();
  }
  return true;
}

bool Receive(int aSocket, std::string& aBuffer) {
  std::string piece(kReadSize, '\0');
  const ssize_t size = recv(aSocket, piece.data(), piece.size(), 0);
  if (size > 0) {
    aBuffer.append(piece.data(), static_cast<std::size_t>(size));
  }
  return size > 0;
}

std::size_t ContentLength(const std::string& aHead) {
  const auto found = aHead.find("Content-Length: ");
  return found == std::string::npos
             ? 0
             : std::strtoull(aHead.c_str() + found + 16, nullptr, 10);
}

bool ServeOne(int aSocket, std::string& aBuffer) {
  std::size_t headEnd = std::string::npos;
  while ((headEnd = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(aSocket, aBuffer)) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, headEnd);
  aBuffer.erase(0, headEnd + 4);
  const std::size_t size = ContentLength(head);
  while (aBuffer.size() < size) {
    if (!Receive(aSocket, aBuffer)) {
      return false;
    }
  }
  const std::string body = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  const auto space = head.find(' ');
  const std::string target =
      head.substr(space + 1, head.find(' ', space + 1) - space - 1);
  std::string answer;
  if (!Handle(head.substr(0, space), target, body, answer)) {
    return false;
  }
  std::this_thread::sleep_for(kLatency);
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(answer.size()) + "\r\n\r\n" + answer;
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t written =
        send(aSocket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(written);
  }
  return true;
}

void Serve(int aSocket) {
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buffer;
  while (ServeOne(aSocket, buffer)) {
  }
  close(aSocket);
}

}  // namespace

int main(int aCount, char** aArguments) {
  if (aCount != 2) {
    std::fprintf(stderr, "usage: store IP:PORT\n");
    return 2;
  }
  const std::string address = aArguments[1];
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
    std::perror("store: cannot listen");
    return 1;
  }
  while (true) {
    const int connection = accept(listener, nullptr, nullptr);
    if (connection >= 0) {
      std::thread(Serve, connection).detach();
    }
  }
}
