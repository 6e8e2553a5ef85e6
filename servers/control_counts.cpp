#include "servers/control_counts.h"

#include "drivers/metrics.h"

namespace papayawheel {

std::string RenderControlCounts(const ControlCounts& aCounts) {
  return RenderCounter("gossip_datagrams_sent_total",
                       "Datagrams sent to other hosts.",
                       aCounts.mDatagramsSent) +
         RenderCounter("gossip_datagrams_received_total",
                       "Datagrams received from other hosts.",
                       aCounts.mDatagramsReceived) +
         RenderCounter("gossip_datagrams_dropped_total",
                       "Datagrams dropped as too many waited.",
                       aCounts.mDatagramsDropped) +
         RenderCounter("store_calls_total",
                       "Reads and watches of the platform's store.",
                       aCounts.mStoreCalls) +
         RenderCounter("view_pulls_total",
                       "Requests to other hosts for changes of the view.",
                       aCounts.mPulls) +
         RenderCounter("view_deltas_served_total",
                       "Changes of the view sent to other hosts.",
                       aCounts.mDeltasServed) +
         RenderCounter("view_copies_served_total",
                       "Full copies of the view sent to other hosts.",
                       aCounts.mCopiesServed) +
         RenderCounter("view_pulls_refused_total",
                       "Requests from other hosts refused as too much data "
                       "was being sent.",
                       aCounts.mPullsRefused) +
         RenderCounter("control_late_iterations_total",
                       "Iterations of the control thread that ran late.",
                       aCounts.mLateIterations);
}

}  // namespace papayawheel
