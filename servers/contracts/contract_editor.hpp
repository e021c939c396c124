#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/contract/contract_change.hpp"
#include "core/time/clock.hpp"
#include "servers/contracts/contract_history.hpp"
#include "servers/contracts/edit_request.hpp"
#include "servers/contracts/edit_result.hpp"
#include "servers/store/key_value_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class contract_format;

/// Changes contracts in the store. A change is accepted once it is durable there.
///
/// Each change is one transaction on the contract, its history and the index key. The transaction
/// is conditional on the revisions that were read. Its edit id is stored in the history, so that
/// after a lost answer the same transaction can be sent again and its effect recognised. At most
/// one of the copies takes effect.
/// Runs on the control thread.
class contract_editor {
public:
    using edit_handler = std::function<void(const edit_result&)>;
    /// Called with each accepted change.
    using change_handler = std::function<void(const contract_change&)>;
    /// `failure` is empty on success. `revision` is 0 if there is no contract.
    struct history_result {
        std::string failure;
        std::int64_t revision = 0;
        std::string document;
        contract_history history;
    };
    using history_handler = std::function<void(const history_result&)>;

    /// How long the editor tries to find out the result of a write without an answer.
    static constexpr duration settle_time = std::chrono::seconds(10);
    /// Delay before a transaction without an answer is sent again.
    static constexpr duration settle_pause = std::chrono::milliseconds(300);
    /// Maximum number of past revisions kept for each contract.
    static constexpr std::size_t max_past = 20;
    /// Maximum size in bytes of the past documents kept for each contract. The store accepts values
    /// up to 1 MB.
    static constexpr std::size_t max_past_bytes = 400000;

    /// @param writer  unique for each start of a process; the first part of each edit id
    contract_editor(key_value_store& store, timer_service& timers, const contract_format& format,
                    std::string writer);
    ~contract_editor() = default;
    contract_editor(const contract_editor&) = delete;
    contract_editor& operator=(const contract_editor&) = delete;

    void on_accepted(change_handler accepted) { accepted_ = std::move(accepted); }

    /// Attempts to make a change. `done` is called exactly once, within `settle_time` plus the
    /// timeouts of the store.
    void edit(const edit_request& request, edit_handler done);
    /// Reads a contract and its history from the store.
    void history(const customer_id& customer, const history_handler& done);

private:
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;

    void read_contract(const attempt_ptr& current);
    void on_contract_read(const attempt_ptr& current, const read_result& result);
    bool finish_without_write(const attempt_ptr& current) const;
    void read_history(const attempt_ptr& current);
    void build_transaction(const attempt_ptr& current, const read_result& history,
                           std::int64_t changes) const;
    void commit(const attempt_ptr& current);
    void on_commit(const attempt_ptr& current, const write_result& result);
    void retry_commit(const attempt_ptr& current);
    void read_back_history(const attempt_ptr& current);
    void on_history_read_back(const attempt_ptr& current, const read_result& history);
    void report_accepted(const attempt_ptr& current, std::int64_t revision);
    static void report(const attempt_ptr& current, edit_outcome outcome,
                       const std::string& message);

    key_value_store& store_;
    timer_service& timers_;
    const contract_format& format_;
    std::string writer_;
    std::uint64_t attempts_ = 0;
    change_handler accepted_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace fuchsiaquay
