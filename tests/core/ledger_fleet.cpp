#include "tests/core/ledger_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace papayawheel {
namespace {

/** Tolerance for rounding errors, in tokens. */
constexpr double kRounding = 1e-6;

std::pair<std::size_t, std::size_t> Link(std::size_t aLeft,
                                         std::size_t aRight) {
  return std::minmax(aLeft, aRight);
}

}  // namespace

LedgerFleet::LedgerFleet(std::size_t aHosts, const Contract& aContract)
    : mMaxContract(aContract),
      mTokens(aContract.mBurst),
      mTokensAt(mClock.Now()) {
  mNodes.resize(aHosts);
  Publish(SampleConfiguration(aHosts, 1, aContract));
  for (std::size_t host = 0; host < aHosts; ++host) {
    Restart(host);
  }
}

void LedgerFleet::Advance(Duration aBy) {
  const TimePoint until = mClock.Now() + aBy;
  while (mClock.Now() < until) {
    const auto step = std::min<Duration>(
        std::chrono::milliseconds(50),
        std::chrono::duration_cast<Duration>(until - mClock.Now()));
    mClock.Advance(step);
    Deliver();
    EndCalls();
    for (Node& node : mNodes) {
      if (node.mLedger != nullptr && !node.mPaused) {
        node.mLedger->Tick(mClock.Now());
      }
    }
  }
}

bool LedgerFleet::Call(std::size_t aHost, Duration aLength) {
  Node& node = mNodes[aHost];
  if (node.mLedger == nullptr || node.mPaused) {
    return false;
  }
  const Admission admission =
      node.mLedger->Admit(mMaxContract.mCustomer, mClock.Now());
  if (!admission.mGrant) {
    return false;
  }
  mRunning.push_back(Running{mClock.Now() + aLength, aHost, node.mGeneration,
                             *admission.mGrant});
  CountAdmission();
  return true;
}

void LedgerFleet::CallAll(std::size_t aHost, Duration aLength) {
  while (Call(aHost, aLength)) {
  }
}

void LedgerFleet::Exchange(std::size_t aFrom, std::size_t aTo,
                           Duration aDelay) {
  const Node& from = mNodes[aFrom];
  const Node& other = mNodes[aTo];
  if (aFrom == aTo || from.mLedger == nullptr || from.mPaused ||
      mCuts.contains(Link(aFrom, aTo))) {
    return;
  }
  const bool refused = other.mLedger == nullptr;
  if (!refused && other.mPaused) {
    return;
  }
  mMessages.push_back(
      Message{mClock.Now() + aDelay, aFrom, from.mGeneration, aTo, refused,
              refused ? LedgerReport{} : other.mLedger->Report(mClock.Now()),
              mClock.Now()});
  Deliver();
}

void LedgerFleet::ExchangeAll() {
  for (std::size_t from = 0; from < Hosts(); ++from) {
    for (std::size_t other = 0; other < Hosts(); ++other) {
      Exchange(from, other, Duration::zero());
    }
  }
}

void LedgerFleet::Restart(std::size_t aHost) {
  Node& node = mNodes[aHost];
  node.mLedger =
      std::make_unique<ShareLedger>(SampleHostName(aHost), mClock.Now());
  node.mPaused = false;
  ++node.mGeneration;
  node.mRevision = 0;
  Take(node, mPublished.back());
}

void LedgerFleet::SetCut(std::size_t aLeft, std::size_t aRight, bool aCut) {
  if (aCut) {
    mCuts.insert(Link(aLeft, aRight));
  } else {
    mCuts.erase(Link(aLeft, aRight));
  }
}

void LedgerFleet::PublishHostState(std::size_t aHost, NodeState aState) {
  Configuration next = *mPublished.back();
  next.mHosts.at(SampleHostName(aHost)).mState = aState;
  Publish(std::move(next));
}

void LedgerFleet::PublishContract(const Contract& aContract) {
  Configuration next = *mPublished.back();
  next.mContracts[aContract.mCustomer] = aContract;
  mMaxContract.mRatePerSecond =
      std::max(mMaxContract.mRatePerSecond, aContract.mRatePerSecond);
  if (aContract.mBurst > mMaxContract.mBurst) {
    mTokens += aContract.mBurst - mMaxContract.mBurst;
    mMaxContract.mBurst = aContract.mBurst;
  }
  mMaxContract.mConcurrency =
      std::max(mMaxContract.mConcurrency, aContract.mConcurrency);
  Publish(std::move(next));
}

void LedgerFleet::Learn(std::size_t aHost) {
  Node& node = mNodes[aHost];
  if (node.mLedger != nullptr && !node.mPaused) {
    Take(node, mPublished.back());
  }
}

void LedgerFleet::Publish(Configuration aConfiguration) {
  aConfiguration.mRevision = mPublished.size() + 1;
  mPublished.push_back(MakeSharedConfiguration(aConfiguration));
}

void LedgerFleet::Take(Node& aNode,
                       const std::shared_ptr<const Configuration>& aNext) {
  if (aNext->mRevision > aNode.mRevision) {
    aNode.mRevision = aNext->mRevision;
    aNode.mLedger->Apply(aNext, mClock.Now());
  }
}

void LedgerFleet::Deliver() {
  std::deque<Message> later;
  for (const Message& message : mMessages) {
    Node& node = mNodes[message.mTo];
    if (message.mArrives > mClock.Now() || node.mPaused) {
      later.push_back(message);
      continue;
    }
    if (node.mLedger == nullptr || node.mGeneration != message.mToGeneration) {
      continue;
    }
    const std::string from = SampleHostName(message.mFrom);
    if (message.mRefused) {
      node.mLedger->HostRefused(from, message.mSentAt, mClock.Now());
    } else {
      node.mLedger->HostReported(from, message.mReport, message.mSentAt,
                                 mClock.Now());
    }
  }
  mMessages = std::move(later);
}

void LedgerFleet::EndCalls() {
  std::erase_if(mRunning, [this](const Running& aRunning) {
    if (aRunning.mEnd > mClock.Now()) {
      return false;
    }
    Node& node = mNodes[aRunning.mHost];
    if (node.mLedger != nullptr && node.mGeneration == aRunning.mGeneration) {
      node.mLedger->Release(aRunning.mGrant);
    }
    return true;
  });
}

void LedgerFleet::CountAdmission() {
  ++mAdmitted;
  const double elapsed =
      std::chrono::duration<double>(mClock.Now() - mTokensAt).count();
  mTokens = std::min<double>(mMaxContract.mBurst,
                             mTokens + elapsed * mMaxContract.mRatePerSecond);
  mTokensAt = mClock.Now();
  mTokens -= 1;
  // Reference model: a token bucket that starts full and never falls below
  // empty admits at most burst + rate * length calls in any window of time.
  if (mTokens < -kRounding) {
    mViolation =
        fmt::format("rate: {} tokens after {} calls", mTokens, mAdmitted);
  }
  if (mRunning.size() > mMaxContract.mConcurrency) {
    mViolation = fmt::format("concurrency: {} calls at once", mRunning.size());
  }
}

}  // namespace papayawheel
