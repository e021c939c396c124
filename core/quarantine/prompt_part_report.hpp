#pragma once

#include <string>
#include <tuple>
#include <vector>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/quarantine/engine_end.hpp"
#include "core/quarantine/quarantined_part.hpp"

namespace fuchsiaquay {

/// What a host tells the others about parts of prompts.
struct prompt_part_report {
    /// Its own observations. Parts that it knows to be answered are left out.
    std::vector<engine_end> ends;
    /// Processes of any host's observations that this host knows to have ended.
    std::vector<upstream_lifetime> gone_engines;
    /// Parts that other hosts have reported and that this host has seen answered.
    std::vector<std::string> answered;
    std::vector<quarantined_part> quarantined;

    bool empty() const {
        return ends.empty() && gone_engines.empty() && answered.empty() && quarantined.empty();
    }

    friend bool operator==(const prompt_part_report& a, const prompt_part_report& b) {
        return std::tie(a.ends, a.gone_engines, a.answered, a.quarantined) ==
               std::tie(b.ends, b.gone_engines, b.answered, b.quarantined);
    }
};

}  // namespace fuchsiaquay
