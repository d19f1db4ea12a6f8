/// \file
/// Rule by which a request with a prompt is sent to a server or refused.

#pragma once

#include "pimentoladder/Base/Time.h"

namespace pimentoladder {

/// What the rule judges by.
struct prompt_prospect {
    duration objective {}; ///< Time within which the first event is wanted.
    duration expectedFirstEvent {}; ///< At the best server, the reading of the prompt included.
    double unreadTokens = 0; ///< That the server would have to read.
    double ownTokens = 0; ///< Of the prompt that no other request shares.
    double shareFill = 0; ///< Above 1: the workspace is beyond its fair share.
    duration loopLag {}; ///< How late this router's event loop is.
};

/// Returns whether the request is to be sent. The first event must be expected
/// within a part of the objective; beyond its share a workspace gets a smaller part,
/// and no shared part of a prompt is read again for it. Thread-safe.
bool isWorthSending(const prompt_prospect& prospect);

}
