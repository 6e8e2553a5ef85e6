#pragma once

// What the stand-ins of the third review share: blocking sockets on loopback,
// heads of HTTP messages, and lines with the time of day.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review {

inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** Prints a line at once, so that it is there if the process is killed. */
inline void Print(const std::string& aText) {
  static std::mutex sMutex;
  const std::scoped_lock lock(sMutex);
  std::printf("at_ms=%lld %s\n", static_cast<long long>(NowMs()),
              aText.c_str());
  std::fflush(stdout);
}

/** A connection; closed at the end of its scope. */
class Connection {
 public:
  explicit Connection(int aSocket) : mSocket(aSocket) {
    const int on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close(mSocket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Reads up to the end of a head. Nothing if the peer has closed. */
  std::optional<std::string> ReadHead() {
    constexpr const char* kEnd = "\r\n\r\n";
    while (true) {
      const auto end = mBuffer.find(kEnd);
      if (end != std::string::npos) {
        std::string head = mBuffer.substr(0, end + 4);
        mBuffer.erase(0, end + 4);
        return head;
      }
      if (!ReadSome()) {
        return std::nullopt;
      }
    }
  }

  /** Reads a body; shorter if the peer closes before its end. */
  std::string ReadBody(std::size_t aLength) {
    while (mBuffer.size() < aLength && ReadSome()) {
    }
    std::string body = mBuffer.substr(0, aLength);
    mBuffer.erase(0, body.size());
    return body;
  }

  bool Send(const std::string& aBytes) {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size = send(mSocket, aBytes.data() + sent,
                                aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

 private:
  bool ReadSome() {
    char bytes[4096];
    const ssize_t size = recv(mSocket, bytes, sizeof bytes, 0);
    if (size <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  int mSocket;
  std::string mBuffer;
};

inline sockaddr_in LoopbackAddress(const std::string& aIp, int aPort) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (inet_pton(AF_INET, aIp.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an IP number: " + aIp);
  }
  return address;
}

/** Serves each connection in a thread of its own. */
template <typename Handler>
[[noreturn]] void Serve(int aPort, Handler aHandler) {
  std::signal(SIGPIPE, SIG_IGN);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = LoopbackAddress("127.0.0.1", aPort);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0 ||
      listen(listener, 1024) != 0) {
    std::perror("cannot listen");
    std::exit(EXIT_FAILURE);
  }
  while (true) {
    const int accepted = accept(listener, nullptr, nullptr);
    if (accepted >= 0) {
      std::thread([accepted, aHandler] {
        Connection connection(accepted);
        aHandler(connection);
      }).detach();
    }
  }
}

/** Connects; null if the peer cannot be reached. */
inline std::unique_ptr<Connection> Connect(const std::string& aIp, int aPort,
                                           int aTimeoutMs) {
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  constexpr int kMsPerSecond = 1000;
  constexpr suseconds_t kUsPerMs = 1000;
  const timeval timeout{aTimeoutMs / kMsPerSecond,
                        kUsPerMs * (aTimeoutMs % kMsPerSecond)};
  setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const sockaddr_in address = LoopbackAddress(aIp, aPort);
  if (connect(client, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(client);
    return nullptr;
  }
  return std::make_unique<Connection>(client);
}

/** The value of a header field of a head; empty if it is absent. */
inline std::string Field(const std::string& aHead, const std::string& aName) {
  const auto lower = [](std::string aText) {
    for (char& byte : aText) {
      byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
    }
    return aText;
  };
  const auto start = lower(aHead).find("\r\n" + lower(aName) + ":");
  if (start == std::string::npos) {
    return "";
  }
  auto first = start + aName.size() + 3;
  while (aHead[first] == ' ') {
    ++first;
  }
  return aHead.substr(first, aHead.find("\r\n", first) - first);
}

inline std::size_t BodyLength(const std::string& aHead) {
  const std::string length = Field(aHead, "Content-Length");
  return length.empty() ? 0 : std::stoul(length);
}

/** A word of the first line of a head, counted from 0. */
inline std::string Word(const std::string& aHead, int aNumber) {
  std::size_t start = 0;
  for (int word = 0; word < aNumber; ++word) {
    start = aHead.find(' ', start) + 1;
  }
  return aHead.substr(start, aHead.find_first_of(" \r", start) - start);
}

}  // namespace review
