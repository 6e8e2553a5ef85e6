// Stands in for an upstream, with the protocol of PROTOCOL.md: runs as many
// requests at once as it has slots, queues a few more, refuses the others,
// answers health checks at once and reports its load. While the file FAULT_FILE
// exists, it has the fault that is named.
//
// upstream ID PORT SLOTS QUEUE WORK_MS FAULT FAULT_FILE
//
// Faults:
//   none
//   cut-refusal  Sometimes a second copy of a refusal is sent late, before the
//                next answer on its connection, and breaks off in its head.
//   cut-answer   The same with the copy of an answer with 200. A request whose
//   path
//                has the word "fails" is answered 500, with or without the
//                fault.
//   wrong-byte   Sometimes a byte in the head of an answer is wrong.
//   own-503      Sometimes a request that runs fails with the status 503.
#include <atomic>
#include <condition_variable>
#include <string>

#include "http_io.h"

namespace {

using review::Connection;
using review::Field;
using review::Print;

/** What the fault "garble" spoils at most: this share of the answers. */
constexpr double kMaxGarbled = 0.03;
/** What the fault "srv_grey" fails: this share of the requests. */
constexpr double kFailingShare = 0.45;

struct Settings {
  std::string mId;
  int mSlots = 1;
  int mQueue = 0;
  std::chrono::milliseconds mWork{0};
  std::string mFault;
  std::string mFaultFile;

  [[nodiscard]] bool Has(const std::string& aFault) const {
    return mFault == aFault && access(mFaultFile.c_str(), F_OK) == 0;
  }
};

class Upstream {
 public:
  explicit Upstream(Settings aSettings) : mSettings(std::move(aSettings)) {}

  void Handle(Connection& aConnection) {
    std::string lateBytes;
    while (const auto head = aConnection.ReadHead()) {
      if (review::Word(*head, 1) == "/health") {
        aConnection.Send(Render("200 OK", "", "", ""));
        continue;
      }
      const std::string id = Field(*head, "Papayawheel-Request-Id");
      if (!lateBytes.empty()) {
        Print("late_bytes endpoint=" + mSettings.mId + " before=" + id +
              " bytes=\"" + OneLine(lateBytes) + "\"");
        if (!aConnection.Send(lateBytes)) {
          return;
        }
        lateBytes.clear();
      }
      if (!Answer(aConnection, *head, id, lateBytes)) {
        return;
      }
    }
  }

 private:
  static std::string OneLine(const std::string& aText) {
    std::string line;
    for (const char byte : aText) {
      line += byte == '\r'   ? std::string("\\r")
              : byte == '\n' ? std::string("\\n")
                             : std::string(1, byte);
    }
    return line;
  }

  /** An answer. The fields that tell what it is come first. */
  std::string Render(const std::string& aStatus, const std::string& aFields,
                     const std::string& aId, const std::string& aBody) {
    const std::unique_lock lock(mMutex);
    return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
           "Papayawheel-Instance-Id: " + mSettings.mId +
           "\r\nPapayawheel-Server-Load: " + std::to_string(mRunning) + "," +
           std::to_string(mWaiting) + "," + std::to_string(mSettings.mSlots) +
           (aId.empty() ? "" : "\r\nPapayawheel-Request-Id: " + aId) +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  /** Whether this answer is among the share that the fault spoils. */
  bool IsSpoilt(double aShare) {
    return static_cast<double>(mSpoilt + 1) <=
           aShare * static_cast<double>(mAnswers);
  }

  /** Waits for a slot. Returns false if the queue is full. */
  bool TakeSlot() {
    std::unique_lock lock(mMutex);
    if (mRunning >= mSettings.mSlots && mWaiting >= mSettings.mQueue) {
      return false;
    }
    ++mWaiting;
    mFreed.wait(lock, [this] { return mRunning < mSettings.mSlots; });
    --mWaiting;
    ++mRunning;
    return true;
  }

  void FreeSlot() {
    const std::unique_lock lock(mMutex);
    --mRunning;
    mFreed.notify_one();
  }

  bool Refuse(Connection& aConnection, const std::string& aStatus,
              const std::string& aId, std::string& aLateBytes) {
    const std::string field = "Papayawheel-Not-Executed: 1";
    const std::string answer = Render(aStatus, field + "\r\n", aId, "");
    Print("refused request=" + aId + " endpoint=" + mSettings.mId);
    if (mSettings.Has("cut-refusal") && IsSpoilt(kMaxGarbled)) {
      ++mSpoilt;
      aLateBytes = answer.substr(0, answer.find(field) + field.size());
    }
    return aConnection.Send(answer);
  }

  bool Answer(Connection& aConnection, const std::string& aHead,
              const std::string& aId, std::string& aLateBytes) {
    mAnswers += access(mSettings.mFaultFile.c_str(), F_OK) == 0 ? 1 : 0;
    const std::size_t length = review::BodyLength(aHead);
    const std::string expected = Field(aHead, "Papayawheel-Expect-Instance");
    if (!expected.empty() && expected != mSettings.mId) {
      aConnection.ReadBody(length);
      return Refuse(aConnection, "421 Misdirected Request", aId, aLateBytes);
    }
    if (aId.empty()) {
      aConnection.ReadBody(length);
      return Refuse(aConnection, "400 Bad Request", aId, aLateBytes);
    }
    const auto begin = std::chrono::steady_clock::now();
    aConnection.ReadBody(length);
    if (!TakeSlot()) {
      return Refuse(aConnection, "503 Service Unavailable", aId, aLateBytes);
    }
    Print("run_begins request=" + aId + " method=" + review::Word(aHead, 0) +
          " endpoint=" + mSettings.mId);
    std::this_thread::sleep_until(begin + mSettings.mWork);
    FreeSlot();
    return Finish(aConnection, aHead, aId, aLateBytes);
  }

  bool Finish(Connection& aConnection, const std::string& aHead,
              const std::string& aId, std::string& aLateBytes) {
    const bool fails =
        review::Word(aHead, 1).find("fails") != std::string::npos;
    std::string status = fails ? "500 Internal Server Error" : "200 OK";
    std::string body = (fails ? "failed " : "done ") + aId + "\n";
    if (mSettings.Has("own-503") && IsSpoilt(kFailingShare)) {
      ++mSpoilt;
      status = "503 Service Unavailable";
      body = "a server behind this one is down\n";
    }
    const std::string first = "Content-Type: text/plain";
    std::string answer =
        Render(status,
               first + "\r\nPapayawheel-Response-Stamp: stamp-" + aId + "-" +
                   status.substr(0, 3) + "\r\n",
               aId, body);
    Print("run_ends request=" + aId + " status=" + status.substr(0, 3) +
          " endpoint=" + mSettings.mId);
    if (mSettings.Has("cut-answer") && !fails && IsSpoilt(kMaxGarbled)) {
      ++mSpoilt;
      aLateBytes = answer.substr(0, answer.find(first) + first.size());
    }
    if (mSettings.Has("wrong-byte") && IsSpoilt(kMaxGarbled)) {
      ++mSpoilt;
      const auto wrong = answer.find("Stamp:");
      answer[wrong] = 'R';
      Print("wrong_byte request=" + aId + " endpoint=" + mSettings.mId +
            " head=\"" + OneLine(answer.substr(0, answer.find("\r\n\r\n"))) +
            "\"");
    }
    return aConnection.Send(answer);
  }

  Settings mSettings;
  std::mutex mMutex;
  std::condition_variable mFreed;
  int mRunning = 0;
  int mWaiting = 0;
  /** Answers while the fault is in force. */
  std::atomic<long> mAnswers = 0;
  std::atomic<long> mSpoilt = 0;
};

}  // namespace

int main(int aCount, char** aArguments) {
  if (aCount != 8) {
    std::fprintf(stderr,
                 "usage: upstream ID PORT SLOTS QUEUE WORK_MS FAULT FILE\n");
    return EXIT_FAILURE;
  }
  Settings settings;
  settings.mId = aArguments[1];
  settings.mSlots = std::atoi(aArguments[3]);
  settings.mQueue = std::atoi(aArguments[4]);
  settings.mWork = std::chrono::milliseconds(std::atoi(aArguments[5]));
  settings.mFault = aArguments[6];
  settings.mFaultFile = aArguments[7];
  Upstream upstream(settings);
  review::Serve(std::atoi(aArguments[2]), [&upstream](Connection& aConnection) {
    upstream.Handle(aConnection);
  });
}
