#include "drivers/admin/operator_authenticator.hpp"

#include <utility>

#include "core/error/operation_error.hpp"
#include "servers/decision_log.hpp"
#include "servers/store/key_value_store.hpp"

namespace fuchsiaquay {

operator_authenticator::operator_authenticator(key_value_store& store, timer_service& timers,
                                               decision_log& log, std::string bootstrap_digest)
    : store_(store), timers_(timers), log_(log), bootstrap_digest_(std::move(bootstrap_digest)) {
    load("");
}

void operator_authenticator::authenticate(const std::string& token, identity_handler done) {
    const bool is_current = loaded_ && timers_.now() - loaded_at_ < cache_lifetime;
    if (is_current) {
        done(list_.find(token));
        return;
    }
    pending_.emplace_back(token, std::move(done));
    if (pending_.size() > 1) {
        return;
    }
    std::weak_ptr<bool> alive = alive_;
    store_.read(operators_key, [this, alive](const read_result& reading) {
        if (alive.expired()) {
            return;
        }
        if (reading.ok()) {
            load(reading.values.empty() ? "" : reading.values.front().value);
            loaded_ = true;
            loaded_at_ = timers_.now();
        }
        complete_pending();
    });
}

void operator_authenticator::load(const std::string& text) {
    operator_list next;
    try {
        if (!text.empty()) {
            next = operator_list::parse(text);
        }
    } catch (const operation_error& error) {
        log_.write(decision_log::level::error, "operators_unreadable", {{"error", error.what()}});
        return;
    }
    if (!bootstrap_digest_.empty()) {
        next.add({{"bootstrap", operator_role::change}, bootstrap_digest_});
    }
    list_ = std::move(next);
}

void operator_authenticator::complete_pending() {
    const auto pending = std::move(pending_);
    pending_.clear();
    for (const auto& [token, done] : pending) {
        done(list_.find(token));
    }
}

}  // namespace fuchsiaquay
