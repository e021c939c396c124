#pragma once

#include <string>

#include "core/fleet/network_address.hpp"

namespace fuchsiaquay {

/// A host through whose tunnel a connection leads.
struct leading_host {
    network_address address;
    /// Tells the process of the host from others at its address; empty if the host names none.
    std::string process;
};

}  // namespace fuchsiaquay
