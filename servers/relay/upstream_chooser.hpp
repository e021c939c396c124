#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/placement/placement_decision.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

struct admission_result;
struct caller_request;
struct relay_services;
struct upstream_entry;

/// Chooses upstreams for requests by what the hosts know of their load.
class upstream_chooser {
public:
    explicit upstream_chooser(const relay_services& services) : services_(services) {}

    /// @param excluded  upstream that failed this request before; empty for none
    /// @param deadline  when the answer is worth nothing
    placement_decision choose(const caller_request& request, const admission_result& admitted,
                              std::uint64_t key, const std::string& excluded,
                              instant deadline) const;

private:
    placement_decision choose_engine(const caller_request& request,
                                     const admission_result& admitted, std::uint64_t key,
                                     const std::string& excluded, instant deadline) const;
    placement_decision choose_plain(const admission_result& admitted, std::uint64_t key,
                                    const std::string& excluded) const;

    bool accepts(const upstream_entry& entry, instant now) const;
    /// Time until one of the upstreams accepts requests again, where none does; zero: not known.
    std::optional<duration> pause_of_all(const std::string& service, std::uint64_t key) const;

    const relay_services& services_;
};

}  // namespace fuchsiaquay
