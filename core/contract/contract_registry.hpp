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

/// The contracts that a node knows. A contract is replaced only by a higher revision, so that a
/// stale answer of the store, reordered gossip or a late message never reverts a change.
///
/// The registry knows every change up to its complete revision C. A customer that is not in the
/// registry was deleted at or before C, or never existed. A change at or below C to such a customer
/// is therefore old and ignored. All deletions above C are kept as tombstones. A limited number of
/// tombstones below C is kept as well, so that they can be sent to peers.
class contract_registry {
public:
    /// @param freshness_limit  how long a node counts as `current` after the last confirmation
    /// @param max_tombstones   number of deletions kept for peers
    explicit contract_registry(duration freshness_limit, std::size_t max_tombstones = 4096);

    /// Applies a change if its revision is higher than the known one. Changes may come from any
    /// source in any order. Returns whether the change was applied.
    /// @param parsed  the contract of `change`; ignored if `change` is a deletion
    bool apply(const contract_change& change, const contract& parsed);

    /// Declares that no customer's latest change lies between `previous` and `revision`. Advances
    /// the complete revision if every change up to `previous` is known. A contract in this registry
    /// whose revision lies between them has since been replaced or deleted, so it is marked stale.
    void advance(std::int64_t previous, std::int64_t revision);

    /// Deletes the stale contracts that have not been replaced. Call this after all changes up to
    /// `revision` have been applied. Returns the customers of the deleted contracts.
    std::vector<customer_id> delete_stale(std::int64_t revision);

    /// Completes a read of all contracts at `store_revision`. Apply the contracts first, then pass
    /// their customers as `present`. A customer that is in the registry with a revision not above
    /// `store_revision`, but not in `present`, has been deleted.
    /// Returns the customers found to be deleted.
    /// @param index_revision  revision of the latest change to any contract at the time of the read
    std::vector<customer_id> reconcile(const std::vector<customer_id>& present,
                                       std::int64_t index_revision, std::int64_t store_revision);

    /// Removes everything, so that a peer can fill the registry from scratch. Has no effect once
    /// caught up, because contracts in force must not disappear.
    void clear();

    /// Records that a change at `revision` exists.
    void note_revision(std::int64_t revision);
    /// Records that the contracts are complete, so that the node may serve.
    void set_caught_up() { caught_up_ = true; }
    /// Records that the contracts were verified to be the latest at `verified_at`.
    void confirm(instant verified_at);

    bool caught_up() const noexcept { return caught_up_; }
    std::int64_t complete_revision() const noexcept { return complete_revision_; }
    /// Revision of the latest change that has been applied, including deletions.
    std::int64_t last_change() const noexcept { return last_change_; }
    std::int64_t known_revision() const noexcept { return known_revision_; }
    contract_freshness freshness(instant now) const;
    /// Contracts in force. Returns the same object until the next change. The object may be shared
    /// with other threads.
    std::shared_ptr<const contract_table> table() const;
    /// JSON text of a contract as it was applied; empty if there is none.
    std::string document(const customer_id& customer) const;

    /// Whether `changes_after(cursor)` is complete for a peer whose complete revision is `cursor`.
    /// It is not if deletions after `cursor` were discarded, or were missed between two reads.
    bool can_list_after(std::int64_t cursor) const;
    /// Latest change of each customer whose revision is above `cursor`, in revision order.
    std::vector<contract_change> changes_after(std::int64_t cursor) const;

private:
    struct entry {
        contract_change change;
        std::shared_ptr<const contract> value;
        bool stale = false;
    };
    /// Range of revisions in which deletions may have been missed or discarded.
    struct gap {
        std::int64_t from = 0;
        std::int64_t to = 0;
    };

    void add_gap(gap added);
    void erase_entry(entry& stored, std::int64_t revision);
    void discard_old_tombstones();

    duration freshness_limit_;
    std::size_t max_tombstones_;
    std::map<customer_id, entry> entries_;
    /// Built on demand, so that a series of changes builds it only once.
    mutable std::shared_ptr<const contract_table> table_;
    std::int64_t complete_revision_ = 0;
    std::int64_t last_change_ = 0;
    std::int64_t known_revision_ = 0;
    std::vector<gap> gaps_;
    std::size_t tombstones_ = 0;
    bool caught_up_ = false;
    std::optional<instant> confirmed_at_;
};

}  // namespace fuchsiaquay
