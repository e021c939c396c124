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

/// Authenticates operators by their tokens. The list of operators is read from the store only when
/// it is needed and the cached list has expired, so that nodes without operator requests put no
/// load on the store. While the store is unavailable, the last list and the bootstrap token are
/// valid.
class operator_authenticator {
public:
    using identity_handler = std::function<void(const std::optional<operator_identity>&)>;

    /// Time after which the cached list is read again.
    static constexpr duration cache_lifetime = std::chrono::seconds(10);

    /// @param bootstrap_digest  SHA-256 of the token in the settings, which has the role `change`;
    ///                          empty for none
    operator_authenticator(key_value_store& store, timer_service& timers, decision_log& log,
                           std::string bootstrap_digest);

    void authenticate(const std::string& token, identity_handler done);

private:
    void load(const std::string& text);
    void complete_pending();

    key_value_store& store_;
    timer_service& timers_;
    decision_log& log_;
    std::string bootstrap_digest_;
    operator_list list_;
    bool loaded_ = false;
    instant loaded_at_{};
    std::vector<std::pair<std::string, identity_handler>> pending_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace fuchsiaquay
