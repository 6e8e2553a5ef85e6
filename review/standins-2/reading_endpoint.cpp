// Stands in for an endpoint of the platform that handles the body of a request
// while it reads it. It may pause before it reads the body, and it has a small
// receive buffer, so that meanwhile its window is closed. It answers health
// checks at once, echoes the id of the request and prints when a run begins and
// ends.
#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <istream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/** Size of the receive buffer that is asked for, in bytes. */
constexpr int kReceiveBufferBytes = 2048;

constexpr int kArgumentCount = 5;

struct Settings {
  std::string mId;
  std::uint16_t mPort = 0;
  /** Time between the head of a request and the first read of its body. */
  milliseconds mPause{0};
  /** Time from the head of a request to its answer, at least. */
  milliseconds mWork{0};
};

using Headers = std::map<std::string, std::string>;

struct Head {
  std::string mMethod;
  std::string mTarget;
  Headers mHeaders;
};

/** Prints a line with the time of day in milliseconds. */
void Print(const std::string& aText) {
  static std::mutex sMutex;
  const std::scoped_lock lock(sMutex);
  const auto now = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::cout << aText << " at_ms=" << now.count() << "\n" << std::flush;
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

Head ReadHead(tcp::socket& aSocket, asio::streambuf& aBuffer) {
  asio::read_until(aSocket, aBuffer, "\r\n\r\n");
  std::istream stream(&aBuffer);
  Head head;
  std::string line;
  stream >> head.mMethod >> head.mTarget;
  std::getline(stream, line);
  while (std::getline(stream, line) && !Trim(line).empty()) {
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      head.mHeaders[ToLower(line.substr(0, colon))] =
          Trim(line.substr(colon + 1));
    }
  }
  return head;
}

std::string Render(const Settings& aSettings, const std::string& aStatus,
                   const std::string& aHeaders, const std::string& aBody) {
  return "HTTP/1.1 " + aStatus +
         "\r\nPapayawheel-Instance-Id: " + aSettings.mId +
         "\r\nPapayawheel-Server-Load: 0,0,4\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** Reads the body of a request. */
void ReadBody(tcp::socket& aSocket, asio::streambuf& aBuffer,
              std::size_t aLength) {
  if (aBuffer.size() < aLength) {
    asio::read(aSocket, aBuffer,
               asio::transfer_exactly(aLength - aBuffer.size()));
  }
  aBuffer.consume(aLength);
}

std::string Run(const Settings& aSettings, const Head& aHead,
                tcp::socket& aSocket, asio::streambuf& aBuffer) {
  const auto begin = std::chrono::steady_clock::now();
  const auto& headers = aHead.mHeaders;
  const auto id = headers.find("papayawheel-request-id");
  const auto expected = headers.find("papayawheel-expect-instance");
  const auto length = headers.find("content-length");
  const std::size_t size =
      length == headers.end() ? 0 : std::stoul(length->second);
  if (id == headers.end() ||
      (expected != headers.end() && expected->second != aSettings.mId)) {
    ReadBody(aSocket, aBuffer, size);
    return Render(aSettings, "421 Misdirected Request",
                  "Papayawheel-Not-Executed: 1\r\n", "");
  }
  const std::string run =
      "request=" + id->second + " endpoint=" + aSettings.mId;
  Print("run_begins " + run);
  std::this_thread::sleep_for(aSettings.mPause);
  try {
    ReadBody(aSocket, aBuffer, size);
  } catch (const std::exception& error) {
    Print("run_broken_off " + run + " reason=\"" + error.what() + "\"");
    throw;
  }
  std::this_thread::sleep_until(begin + aSettings.mWork);
  Print("run_ends " + run + " bytes=" + std::to_string(size));
  return Render(aSettings, "200 OK",
                "Papayawheel-Request-Id: " + id->second +
                    "\r\nPapayawheel-Response-Stamp: stamp-" + aSettings.mId +
                    "\r\n",
                "done by " + aSettings.mId + "\n");
}

/** Serves one connection until the peer closes it. */
void Serve(const Settings& aSettings, tcp::socket aSocket) {
  try {
    asio::streambuf buffer;
    while (true) {
      const Head head = ReadHead(aSocket, buffer);
      const std::string answer = head.mTarget == "/health"
                                     ? Render(aSettings, "200 OK", "", "")
                                     : Run(aSettings, head, aSocket, buffer);
      asio::write(aSocket, asio::buffer(answer));
    }
  } catch (const std::exception&) {
    // The peer has closed the connection.
    return;
  }
}

}  // namespace

int main(int aCount, char** aArguments) {
  if (aCount != kArgumentCount) {
    std::cerr << "usage: reading_endpoint ID PORT PAUSE_MS WORK_MS\n";
    return 2;
  }
  try {
    Settings settings;
    settings.mId = aArguments[1];
    settings.mPort = static_cast<std::uint16_t>(std::stoul(aArguments[2]));
    settings.mPause = milliseconds(std::stol(aArguments[3]));
    settings.mWork = milliseconds(std::stol(aArguments[4]));
    asio::io_context context;
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor.bind(
        tcp::endpoint(asio::ip::address_v4::loopback(), settings.mPort));
    acceptor.listen();
    while (true) {
      std::thread([&settings, socket = acceptor.accept()]() mutable {
        Serve(settings, std::move(socket));
      }).detach();
    }
  } catch (const std::exception& error) {
    std::cerr << "reading_endpoint: " << error.what() << "\n";
    return 1;
  }
}
