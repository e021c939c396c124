#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace fuchsiaquay {

class decision_log;
class polled_store;
class timer_service;

/// A host's entry in the store, bound to a lease, by which serving hosts find each other.
class host_registration {
public:
    /// Receives the store's revision of the entry; it grows with every start of the host.
    using written_handler = std::function<void(std::uint64_t revision)>;

    host_registration(polled_store& store, timer_service& timers, decision_log& log,
                      std::string key);

    /// Writes the entry, keeps it, and writes it again whenever it lapsed, until `remove`.
    void start(std::string value, written_handler written);
    void stop();

private:
    void register_entry();
    void write(std::int64_t lease);
    void renew();
    void retry();

    polled_store& store_;
    timer_service& timers_;
    decision_log& log_;
    std::string key_;
    std::string value_;
    written_handler written_;
    bool wanted_ = false;
    /// A registration is on its way or waits to be tried again.
    bool registering_ = false;
    std::int64_t lease_ = 0;
};

}  // namespace fuchsiaquay
