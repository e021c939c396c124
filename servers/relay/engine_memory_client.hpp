#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "core/fleet/network_address.hpp"
#include "core/time/clock.hpp"

namespace fuchsiaquay {

/// Reserves and releases memory of model engines. A request that gets no reply may still take
/// effect seconds later.
class engine_memory_client {
public:
    /// Receives whether the engine confirmed the reservation.
    using reservation_handler = std::function<void(bool held)>;

    engine_memory_client() = default;
    engine_memory_client(const engine_memory_client&) = delete;
    engine_memory_client& operator=(const engine_memory_client&) = delete;
    virtual ~engine_memory_client() = default;

    /// Reserves memory, or renews the reservation of the same id.
    /// @param hold  lifetime of the reservation from its arrival at the engine, even while in use
    virtual void reserve(const network_address& engine, const std::string& id, std::int64_t tokens,
                         duration hold, reservation_handler done) = 0;
    /// Ends a reservation. If the release is lost, the reservation expires after its lifetime.
    virtual void release(const network_address& engine, const std::string& id) = 0;
};

}  // namespace fuchsiaquay
