#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string>

#include "drivers/http_client.h"

namespace papayawheel {

/** One request of an HttpClient in progress. */
struct HttpTransfer {
  HttpClient::Id mId = 0;
  CURL* mHandle = nullptr;
  curl_slist* mHeaders = nullptr;
  std::string mBody;
  HttpClient::Callback mCallback;
  HttpResult mResult;
  std::size_t mMaxAnswer = 0;
  bool mIsHead = false;
  /** Set when the request is written to a connection. */
  bool mWritten = false;

  /** Callbacks of the library; the last argument is the transfer. */
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount,
                            void* aTransfer);
  static std::size_t OnHeader(char* aData, std::size_t aSize,
                              std::size_t aCount, void* aTransfer);
  static int OnBeforeWrite(void* aTransfer, char* aRemoteIp, char* aLocalIp,
                           int aRemotePort, int aLocalPort);

  /** What the library's code and the state of the transfer mean. */
  [[nodiscard]] HttpResultKind KindOf(CURLcode aCode) const;
};

}  // namespace papayawheel
