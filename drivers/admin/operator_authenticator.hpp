#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "drivers/admin/operator_list.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class decision_log;
class key_value_store;

/// Recognises operators by their tokens. The list is read from the store when it is needed and
/// older than the keep time, so that nodes without operators cost the store nothing. While the
/// store is out the last list and the bootstrap token count.
class operator_authenticator {
public:
    using identity_handler = std::function<void(const std::optional<operator_identity>&)>;

    /// Time that a list is used.
    static constexpr duration cache_lifetime = std::chrono::seconds(10);

    /// @param bootstrap_digest  SHA-256 of the token from the settings, which may change
    ///                          everything; empty for none
    operator_authenticator(key_value_store& store, timer_service& timers, decision_log& log,
                           std::string bootstrap_digest);

    void authenticate(const std::string& token, identity_handler done);

private:
    void load(const std::string& text);
    void answer_waiting();

    key_value_store& store_;
    timer_service& timers_;
    decision_log& log_;
    std::string bootstrap_digest_;
    operator_list list_;
    bool loaded_ = false;
    instant loaded_at_{};
    std::vector<std::pair<std::string, identity_handler>> waiting_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace fuchsiaquay
