#pragma once

#include <functional>
#include <utility>

#include "core/contract/contract_registry.hpp"

namespace fuchsiaquay {

class contract_format;
class decision_log;

/// Takes changes from any source into the book: parses, applies what is newer, logs.
class contract_applier {
public:
    /// Called after a change took effect.
    using change_handler = std::function<void(const contract_change&)>;

    contract_applier(contract_registry& registry, const contract_format& format, decision_log& log)
        : registry_(registry), format_(format), log_(log) {}

    void on_change(change_handler changed) { changed_ = std::move(changed); }

    /// Returns whether the change took effect. A text that cannot be read is logged and leaves
    /// the contract as it was.
    /// @param source  where the change came from, for the log
    bool apply(const contract_change& change, const char* source);
    /// Logs and announces a change that is in the book already.
    void report(const contract_change& change, const char* source);

private:
    contract_registry& registry_;
    const contract_format& format_;
    decision_log& log_;
    change_handler changed_;
};

}  // namespace fuchsiaquay
