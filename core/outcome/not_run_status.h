#pragma once

namespace papayawheel {

/** Whether a status tells a caller that its request was not run and never will
 * be. An endpoint that answers with one must state this in a header too, since
 * it may also have run the request before it failed. */
bool PromisesNotRun(int aStatus);

}  // namespace papayawheel
