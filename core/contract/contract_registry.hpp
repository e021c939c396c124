#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/contract/contract_change.hpp"
#include "core/contract/contract_freshness.hpp"
#include "core/contract/contract_table.hpp"

namespace fuchsiaquay {

/// The contracts that a node knows. A contract is only ever replaced by a higher revision, so an
/// old answer of the store, reordered gossip or a late message never reverts a change.
///
/// The complete revision C means: every change up to C is known. A customer that is not in the
/// book was deleted by C, or never existed; therefore a change at or below C to such a customer
/// is old and ignored. Deletions above C are kept as tombstones, and a bounded number below C
/// so that peers can be told of them.
class contract_registry {
public:
    /// @param freshness_limit  longest time since the last proof for which a node is `current`
    /// @param max_tombstones   deletions remembered for peers
    explicit contract_registry(duration freshness_limit, std::size_t max_tombstones = 4096);

    /// Applies a change if its revision is higher than what is known. `change` may come from
    /// anywhere in any order. Returns whether anything changed.
    /// @param parsed  the contract of `change`; ignored when erased
    bool apply(const contract_change& change, const contract& parsed);

    /// States that no latest change of a customer lies between `previous` and `revision`. Advances
    /// the complete revision if every change up to `previous` is known. A contract of this book
    /// that does lie between has been replaced or deleted since, so it becomes doubtful.
    void advance(std::int64_t previous, std::int64_t revision);

    /// Deletes the doubtful contracts that nothing has replaced, after all changes up to
    /// `revision` were given. Returns their customers.
    std::vector<customer_id> delete_stale(std::int64_t revision);

    /// Takes in a reading of every contract at `store_revision`: applies `present` before the
    /// call, then names its customers here. A customer of the book whose revision is not above
    /// `store_revision` and that is not named was deleted by then.
    /// Returns the customers found to be deleted.
    /// @param index_revision  latest change to any contract as of the reading
    std::vector<customer_id> reconcile(const std::vector<customer_id>& present,
                                       std::int64_t index_revision, std::int64_t store_revision);

    /// Forgets everything, so that a peer may fill the book from nothing. Has no effect once
    /// caught up: nothing in force is ever taken back.
    void clear();

    /// Notes that a change at `revision` exists.
    void note_revision(std::int64_t revision);
    /// Notes that the contracts are complete, so that the node may serve.
    void set_caught_up() { caught_up_ = true; }
    /// Notes a proof that at `at` nothing newer existed.
    void confirm(instant at);

    bool caught_up() const noexcept { return caught_up_; }
    std::int64_t complete_revision() const noexcept { return complete_; }
    /// Revision of the latest change that this book has taken in, deletions included.
    std::int64_t last_change() const noexcept { return last_change_; }
    std::int64_t known_revision() const noexcept { return known_; }
    contract_freshness freshness(instant now) const;
    /// Contracts in force. The same object until the next change; safe to hand to other threads.
    std::shared_ptr<const contract_table> table() const;
    /// JSON text of a contract as it was applied; empty when there is none.
    std::string document(const customer_id& customer) const;

    /// Whether `changes_after(cursor)` tells a peer that is complete up to `cursor` everything. It
    /// does not where deletions were forgotten or passed unseen between two readings.
    bool can_list_after(std::int64_t cursor) const;
    /// Latest change of each customer above `cursor`, in revision order.
    std::vector<contract_change> changes_after(std::int64_t cursor) const;

private:
    struct entry {
        contract_change change;
        std::shared_ptr<const contract> value;
        bool doubtful = false;
    };
    /// Revisions between which deletions may have passed unseen.
    struct gap {
        std::int64_t from = 0;
        std::int64_t to = 0;
    };

    void add_gap(gap unseen);
    void erase_entry(entry& held, std::int64_t revision);
    void forget_tombstones();

    duration freshness_limit_;
    std::size_t max_tombstones_;
    std::map<customer_id, entry> entries_;
    /// Built on demand, so that taking in many changes costs one build.
    mutable std::shared_ptr<const contract_table> table_;
    std::int64_t complete_ = 0;
    std::int64_t last_change_ = 0;
    std::int64_t known_ = 0;
    std::vector<gap> gaps_;
    std::size_t tombstones_ = 0;
    bool caught_up_ = false;
    std::optional<instant> confirmed_;
};

}  // namespace fuchsiaquay
