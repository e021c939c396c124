#include "servers/contracts/contract_editor.hpp"

#include <algorithm>

#include "core/error/operation_error.hpp"
#include "servers/contracts/contract_format.hpp"
#include "servers/contracts/contract_keys.hpp"

namespace fuchsiaquay {

/// State of one call of `edit`. The handlers that wait for answers keep it alive.
struct contract_editor::attempt {
    edit_request request;
    edit_handler done;
    std::string edit_id;
    instant deadline{};
    /// The contract as it was read before the change.
    stored_value present;
    transaction change;
    /// Revision of the history that the change is conditional on.
    std::int64_t history_revision = 0;
};

namespace {

stored_value first_of(const read_result& result) {
    return result.values.empty() ? stored_value{} : result.values.front();
}

void trim_history(contract_history& history) {
    std::size_t bytes = 0;
    std::size_t kept_count = 0;
    for (const past_revision& past : history.past) {
        bytes += past.document.size();
        if (kept_count == contract_editor::max_past || bytes > contract_editor::max_past_bytes) {
            break;
        }
        ++kept_count;
    }
    history.past.resize(kept_count);
}

/// Revision that the edit `edit_id` created; 0 if it is not in the history.
std::int64_t revision_of_edit(const contract_history& history, std::int64_t revision,
                              const std::string& edit_id) {
    if (history.current.edit_id == edit_id) {
        return revision;
    }
    for (const past_revision& past : history.past) {
        if (past.edit.edit_id == edit_id) {
            return past.revision;
        }
    }
    return 0;
}

}  // namespace

contract_editor::contract_editor(key_value_store& store, timer_service& timers,
                                 const contract_format& format, std::string writer)
    : store_(store), timers_(timers), format_(format), writer_(std::move(writer)) {}

void contract_editor::edit(const edit_request& request, edit_handler done) {
    auto current = std::make_shared<attempt>();
    current->request = request;
    current->done = std::move(done);
    current->edit_id = writer_ + "/" + std::to_string(++attempts_);
    current->deadline = timers_.now() + settle_time;
    try {
        if (!request.document.empty()) {
            const contract parsed = format_.parse(request.document, 0);
            if (parsed.customer != request.customer) {
                report(current, edit_outcome::invalid,
                       "customer: has to be " + request.customer.value());
                return;
            }
            current->request.document = format_.print(parsed);
        }
    } catch (const operation_error& error) {
        report(current, edit_outcome::invalid, error.what());
        return;
    }
    read_contract(current);
}

void contract_editor::read_contract(const attempt_ptr& current) {
    std::weak_ptr<bool> alive = alive_;
    store_.read(contract_key(current->request.customer),
                [this, alive, current](const read_result& result) {
                    if (!alive.expired()) {
                        on_contract_read(current, result);
                    }
                });
}

void contract_editor::on_contract_read(const attempt_ptr& current, const read_result& result) {
    if (!result.ok()) {
        report(current, edit_outcome::unavailable, result.failure);
        return;
    }
    current->present = first_of(result);
    if (!finish_without_write(current)) {
        read_history(current);
    }
}

bool contract_editor::finish_without_write(const attempt_ptr& current) const {
    const edit_request& request = current->request;
    const std::int64_t revision = current->present.revision;
    if (request.expected_revision && *request.expected_revision != revision) {
        report(current, edit_outcome::conflict,
               "the contract is at revision " + std::to_string(revision) + ", not at " +
                   std::to_string(*request.expected_revision));
        return true;
    }
    if (request.document.empty() && revision == 0) {
        report(current, edit_outcome::missing, "there is no contract of this customer");
        return true;
    }
    if (!request.document.empty() && request.document == current->present.value) {
        report(current, edit_outcome::unchanged, "");
        return true;
    }
    if (request.dry_run) {
        report(current, edit_outcome::accepted, "dry run: nothing was written");
        return true;
    }
    return false;
}

void contract_editor::read_history(const attempt_ptr& current) {
    std::weak_ptr<bool> alive = alive_;
    store_.read(contract_history_key(current->request.customer), [this, alive, current](
                                                                     const read_result& history) {
        if (alive.expired()) {
            return;
        }
        if (!history.ok()) {
            report(current, edit_outcome::unavailable, history.failure);
            return;
        }
        store_.read(contracts_index_key, [this, alive, current, history](const read_result& index) {
            if (alive.expired()) {
                return;
            }
            if (!index.ok()) {
                report(current, edit_outcome::unavailable, index.failure);
                return;
            }
            try {
                const std::string text = first_of(index).value;
                build_transaction(current, history, text.empty() ? 0 : format_.parse_index(text));
            } catch (const operation_error& error) {
                report(current, edit_outcome::unavailable, error.what());
                return;
            }
            commit(current);
        });
    });
}

void contract_editor::build_transaction(const attempt_ptr& current, const read_result& history,
                                        std::int64_t changes) const {
    const edit_request& request = current->request;
    const stored_value before = first_of(history);
    contract_history next;
    if (before.revision != 0) {
        next = format_.parse_history(before.value);
        // A deleted contract has no revision. Its history was written in the same transaction, so
        // the revision of the history is used.
        const std::int64_t replaced =
            next.current.erased ? before.revision : current->present.revision;
        next.past.insert(next.past.begin(),
                         past_revision{replaced, next.current, current->present.value});
    } else if (current->present.revision != 0) {
        next.past.push_back({current->present.revision, contract_edit{}, current->present.value});
    }
    const bool erased = request.document.empty();
    next.current = contract_edit{current->edit_id, request.author, request.edited_at, erased};
    trim_history(next);

    const std::string key = contract_key(request.customer);
    const std::string history_key = contract_history_key(request.customer);
    transaction& change = current->change;
    current->history_revision = before.revision;
    change.conditions = {{key, current->present.revision}, {history_key, before.revision}};
    change.writes = {{key, request.document, erased, 0},
                     {history_key, format_.print_history(next), false, 0},
                     // Only the revision of this key matters. The number may repeat when several
                     // operators make changes at the same time.
                     {contracts_index_key, format_.print_index(changes + 1), false, 0}};
}

void contract_editor::commit(const attempt_ptr& current) {
    std::weak_ptr<bool> alive = alive_;
    store_.commit(current->change, [this, alive, current](const write_result& result) {
        if (!alive.expired()) {
            on_commit(current, result);
        }
    });
}

void contract_editor::on_commit(const attempt_ptr& current, const write_result& result) {
    switch (result.outcome) {
        case write_outcome::applied:
            report_accepted(current, result.revision);
            return;
        case write_outcome::unknown:
            retry_commit(current);
            return;
        case write_outcome::conflict:
            // Either an earlier copy of this transaction took effect or another operator made a
            // change first.
            read_back_history(current);
            return;
    }
}

void contract_editor::retry_commit(const attempt_ptr& current) {
    if (timers_.now() + settle_pause > current->deadline) {
        report(current, edit_outcome::unknown,
               "the store gave no answer; the change may be in force, look before trying again");
        return;
    }
    std::weak_ptr<bool> alive = alive_;
    timers_.after(settle_pause, [this, alive, current] {
        if (!alive.expired()) {
            commit(current);
        }
    });
}

void contract_editor::read_back_history(const attempt_ptr& current) {
    std::weak_ptr<bool> alive = alive_;
    store_.read(contract_history_key(current->request.customer),
                [this, alive, current](const read_result& history) {
                    if (!alive.expired()) {
                        on_history_read_back(current, history);
                    }
                });
}

void contract_editor::on_history_read_back(const attempt_ptr& current, const read_result& history) {
    const stored_value found = first_of(history);
    // Every change rewrites the history, so an unchanged history is a stale answer.
    if (!history.ok() || found.revision <= current->history_revision) {
        retry_commit(current);
        return;
    }
    std::int64_t revision = 0;
    try {
        revision =
            revision_of_edit(format_.parse_history(found.value), found.revision, current->edit_id);
    } catch (const operation_error& error) {
        report(current, edit_outcome::unknown, error.what());
        return;
    }
    if (revision != 0) {
        report_accepted(current, revision);
        return;
    }
    // The change was made by another edit. The conditions no longer hold, so no late copy of this
    // transaction can take effect.
    std::weak_ptr<bool> alive = alive_;
    store_.read(contract_key(current->request.customer),
                [this, alive, current](const read_result& result) {
                    if (alive.expired()) {
                        return;
                    }
                    if (result.ok()) {
                        current->present = first_of(result);
                    }
                    report(current, edit_outcome::conflict, "another change came first");
                });
}

void contract_editor::report_accepted(const attempt_ptr& current, std::int64_t revision) {
    const edit_request& request = current->request;
    const bool erased = request.document.empty();
    if (accepted_) {
        accepted_(contract_change{request.customer, revision, erased, request.document});
    }
    current->done(edit_result{edit_outcome::accepted, revision, request.document, ""});
}

void contract_editor::report(const attempt_ptr& current, edit_outcome outcome,
                             const std::string& message) {
    current->done(edit_result{outcome, current->present.revision, current->present.value, message});
}

void contract_editor::history(const customer_id& customer, const history_handler& done) {
    std::weak_ptr<bool> alive = alive_;
    store_.read(contract_key(customer), [this, alive, customer, done](const read_result& present) {
        if (alive.expired()) {
            return;
        }
        if (!present.ok()) {
            done(history_result{present.failure, 0, "", {}});
            return;
        }
        const stored_value value = first_of(present);
        store_.read(contract_history_key(customer),
                    [this, alive, value, done](const read_result& past) {
                        if (alive.expired()) {
                            return;
                        }
                        history_result result{past.failure, value.revision, value.value, {}};
                        try {
                            if (past.ok() && !past.values.empty()) {
                                result.history = format_.parse_history(first_of(past).value);
                            }
                        } catch (const operation_error& error) {
                            result.failure = error.what();
                        }
                        done(result);
                    });
    });
}

}  // namespace fuchsiaquay
