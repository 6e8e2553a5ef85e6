#pragma once

#include <string>

#include "core/gateway/route_explanation.h"

namespace papayawheel {

/** Renders an explanation as a JSON object. */
std::string RenderExplanation(const RouteExplanation& aExplanation);

}  // namespace papayawheel
