#pragma once

#include <functional>
#include <utility>

#include "core/contract/contract_registry.hpp"

namespace fuchsiaquay {

class contract_format;
class decision_log;

/// Applies changes from any source to the registry: parses and logs them, and ignores old ones.
class contract_applier {
public:
    /// Called after a change was applied.
    using change_handler = std::function<void(const contract_change&)>;

    contract_applier(contract_registry& registry, const contract_format& format, decision_log& log)
        : registry_(registry), format_(format), log_(log) {}

    void on_change(change_handler changed) { changed_ = std::move(changed); }

    /// Returns whether the change was applied. An invalid document is logged and leaves the
    /// contract unchanged.
    /// @param source  source of the change, for the log
    bool apply(const contract_change& change, const char* source);
    /// Logs a change that is already in the registry and calls the change handler.
    void report(const contract_change& change, const char* source);

private:
    contract_registry& registry_;
    const contract_format& format_;
    decision_log& log_;
    change_handler changed_;
};

}  // namespace fuchsiaquay
