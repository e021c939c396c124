#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/fleet/network_address.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Orders that set an engine's memory aside. An order without an answer may still take effect,
/// seconds later.
class engine_memory_client {
public:
    /// True when the engine said that the memory is held.
    using held_handler = std::function<void(bool held)>;

    engine_memory_client() = default;
    engine_memory_client(const engine_memory_client&) = delete;
    engine_memory_client& operator=(const engine_memory_client&) = delete;
    virtual ~engine_memory_client() = default;

    /// Reserves memory, or renews the reservation of the same id.
    /// @param hold  lifetime of the reservation from its arrival, also while it is used
    virtual void reserve(const network_address& engine, const std::string& id, std::int64_t tokens,
                         duration hold, held_handler done) = 0;
    /// Ends a reservation. Lost orders are made good by its lifetime.
    virtual void release(const network_address& engine, const std::string& id) = 0;
};

}  // namespace fuchsiaquay
