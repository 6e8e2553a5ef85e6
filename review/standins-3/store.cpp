// Stands in for the platform's store, with the protocol of PROTOCOL.md: holds
// the items that the command line names, which do not change.
//
// store PORT KEY=FILE ...
#include <map>
#include <string>

#include <fstream>
#include <iterator>

#include "http_io.h"

namespace {

using Items = std::map<std::string, std::string>;

std::string Base64(const std::string& aBytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < aBytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      const bool isPresent = at + byte < aBytes.size();
      group = (group << 8U) |
              (isPresent ? static_cast<unsigned char>(aBytes[at + byte]) : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool isPresent = at + digit <= aBytes.size();
      text += isPresent ? kDigits[(group >> (18U - 6U * digit)) & 63U] : '=';
    }
  }
  return text;
}

/** The items as JSON, with revisions in the order of their keys. */
std::string Render(const Items& aItems) {
  std::string list;
  int revision = 1;
  for (const auto& [key, value] : aItems) {
    const std::string number = std::to_string(++revision);
    if (!list.empty()) {
      list += ',';
    }
    list += "{\"key\":\"";
    list += key;
    list += "\",\"value\":\"";
    list += Base64(value);
    list += "\",\"rev\":";
    list += number;
    list += ",\"create-revision\":";
    list += number;
    list += ",\"lease\":0}";
  }
  return list;
}

long QueryNumber(const std::string& aTarget, const std::string& aName) {
  const auto start = aTarget.find(aName + "=");
  return start == std::string::npos
             ? 0
             : std::stol(aTarget.substr(start + aName.size() + 1));
}

std::string Answer(const Items& aItems, const std::string& aTarget,
                   std::string& aStatus) {
  const std::string newest = std::to_string(aItems.size() + 1);
  if (aTarget.starts_with("/kv-range")) {
    return "{\"items\":[" + Render(aItems) +
           "],\"has-more\":false,\"as-of\":" + newest + "}";
  }
  if (!aTarget.starts_with("/kv-watch")) {
    aStatus = "404 Not Found";
    return "{}";
  }
  if (QueryNumber(aTarget, "after") < static_cast<long>(aItems.size()) + 1) {
    aStatus = "410 Gone";
    return "{}";
  }
  std::this_thread::sleep_for(
      std::chrono::milliseconds(QueryNumber(aTarget, "wait-ms")));
  return "{\"events\":[],\"as-of\":" + newest + "}";
}

}  // namespace

int main(int aCount, char** aArguments) {
  Items items;
  for (int argument = 2; argument < aCount; ++argument) {
    const std::string text = aArguments[argument];
    const auto equals = text.find('=');
    std::ifstream file(text.substr(equals + 1));
    items[text.substr(0, equals)] = std::string(
        std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  }
  review::Serve(
      std::atoi(aArguments[1]), [items](review::Connection& aConnection) {
        while (const auto head = aConnection.ReadHead()) {
          std::string status = "200 OK";
          const std::string body =
              Answer(items, review::Word(*head, 1), status);
          std::string answer = "HTTP/1.1 ";
          answer += status;
          answer += "\r\nContent-Type: application/json\r\nContent-Length: ";
          answer += std::to_string(body.size());
          answer += "\r\n\r\n";
          answer += body;
          aConnection.Send(answer);
        }
      });
}
