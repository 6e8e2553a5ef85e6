#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string>

#include "drivers/answer_head.h"
#include "drivers/http_client.h"

namespace papayawheel {

/** A request of an HttpClient that is in progress. */
struct HttpTransfer {
  /** @param aUnfinishedBytes bytes of the unfinished answers of all transfers
   * of a client, which outlives this one. */
  explicit HttpTransfer(std::size_t& aUnfinishedBytes)
      : mUnfinishedBytes(aUnfinishedBytes) {}
  ~HttpTransfer() { mUnfinishedBytes -= mHeadBytes + mBodyBytes; }
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  HttpClient::Id mId = 0;
  CURL* mHandle = nullptr;
  curl_slist* mHeaders = nullptr;
  std::string mBody;
  HttpClient::Callback mCallback;
  HttpResult mResult;
  std::size_t mMaxAnswer = 0;
  /** Bytes of the head, with those of interim answers and trailers. */
  std::size_t mHeadBytes = 0;
  /** Bytes of the body that were received. */
  std::size_t mBodyBytes = 0;
  std::size_t& mUnfinishedBytes;
  bool mIsHead = false;
  /** Set before the request is written to a connection. */
  bool mWritten = false;
  /** Whether a line of a head or of the trailers is malformed. */
  bool mHasMalformedLine = false;

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

 private:
  /** Counts bytes that are going to be stored. Returns false if the unfinished
   * answers of the client are too large with them. */
  bool Reserve(std::size_t aBytes);

  /** Prepares for the next line of a head or of the trailers. Returns whether
   * it is a status line. */
  bool BeginLine();

  /** Checks the answer, final or interim, that is being read. */
  AnswerHeadCheck mHeadCheck;
};

}  // namespace papayawheel
