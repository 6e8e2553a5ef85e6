#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string>

#include "drivers/http_client.h"

namespace papayawheel {

/** A request of an HttpClient that is in progress. */
struct HttpTransfer {
  HttpClient::Id mId = 0;
  CURL* mHandle = nullptr;
  curl_slist* mHeaders = nullptr;
  std::string mBody;
  HttpClient::Callback mCallback;
  HttpResult mResult;
  std::size_t mMaxAnswer = 0;
  bool mIsHead = false;
  /** Set before the request is written to a connection. */
  bool mWritten = false;

  /** Callbacks for libcurl, which get the transfer as aTransfer. */
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount,
                            void* aTransfer);
  static std::size_t OnHeader(char* aData, std::size_t aSize,
                              std::size_t aCount, void* aTransfer);
  static int OnBeforeWrite(void* aTransfer, char* aRemoteIp, char* aLocalIp,
                           int aRemotePort, int aLocalPort);

  /** Converts libcurl's result code and the state of the transfer to the kind
   * of the result. */
  [[nodiscard]] HttpResultKind KindOf(CURLcode aCode) const;
};

}  // namespace papayawheel
