#include "core/contract/contract_registry.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsiaquay {

contract_registry::contract_registry(duration freshness_limit, std::size_t max_tombstones)
    : freshness_limit_(freshness_limit), max_tombstones_(max_tombstones) {}

bool contract_registry::apply(const contract_change& change, const contract& parsed) {
    note_revision(change.revision);
    const auto found = entries_.find(change.customer);
    const std::int64_t known =
        found == entries_.end() ? complete_revision_ : found->second.change.revision;
    if (change.revision <= known) {
        return false;
    }
    const bool was_tombstone = found != entries_.end() && found->second.change.erased;
    tombstones_ += change.erased ? 1 : 0;
    tombstones_ -= was_tombstone ? 1 : 0;
    entry next{change, nullptr, false};
    if (!change.erased) {
        next.value = std::make_shared<const contract>(parsed);
    }
    entries_[change.customer] = std::move(next);
    last_change_ = std::max(last_change_, change.revision);
    discard_old_tombstones();
    table_.reset();
    return true;
}

void contract_registry::advance(std::int64_t previous, std::int64_t revision) {
    note_revision(previous);
    if (previous > complete_revision_ || revision <= complete_revision_) {
        return;
    }
    for (auto& [customer, stored] : entries_) {
        const std::int64_t change_revision = stored.change.revision;
        if (change_revision > complete_revision_ && change_revision < revision &&
            !stored.change.erased) {
            stored.stale = true;
        }
    }
    complete_revision_ = revision;
}

std::vector<customer_id> contract_registry::delete_stale(std::int64_t revision) {
    std::vector<customer_id> deleted;
    for (auto& [customer, stored] : entries_) {
        if (stored.stale && stored.change.revision <= revision) {
            erase_entry(stored, revision);
            deleted.push_back(customer);
        }
    }
    return deleted;
}

void contract_registry::erase_entry(entry& stored, std::int64_t revision) {
    stored = entry{contract_change{stored.change.customer, revision, true, ""}, nullptr, false};
    ++tombstones_;
    last_change_ = std::max(last_change_, revision);
    table_.reset();
}

std::vector<customer_id> contract_registry::reconcile(const std::vector<customer_id>& present,
                                                      std::int64_t index_revision,
                                                      std::int64_t store_revision) {
    const std::set<customer_id> present_set(present.begin(), present.end());
    std::vector<customer_id> deleted;
    for (auto& [customer, stored] : entries_) {
        const bool older = stored.change.revision <= store_revision;
        if (older && !stored.change.erased && present_set.count(customer) == 0) {
            erase_entry(stored, store_revision);
            deleted.push_back(customer);
        }
    }
    discard_old_tombstones();
    note_revision(index_revision);
    if (store_revision > complete_revision_) {
        // The latest change may be the deletion of a customer that was never in this registry.
        last_change_ = std::max(last_change_, index_revision);
        // Customers that were created and deleted in this range were never in this registry. A peer
        // whose complete revision lies in the range cannot learn of those deletions from here.
        add_gap({complete_revision_, store_revision});
        complete_revision_ = store_revision;
    }
    return deleted;
}

void contract_registry::clear() {
    if (caught_up_) {
        return;
    }
    entries_.clear();
    table_.reset();
    complete_revision_ = 0;
    last_change_ = 0;
    gaps_.clear();
    tombstones_ = 0;
}

void contract_registry::note_revision(std::int64_t revision) {
    known_revision_ = std::max(known_revision_, revision);
}

void contract_registry::confirm(instant verified_at) {
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, verified_at) : verified_at;
}

contract_freshness contract_registry::freshness(instant now) const {
    contract_freshness result;
    result.complete_revision = complete_revision_;
    result.known_revision = known_revision_;
    if (!caught_up_) {
        return result;
    }
    result.age = confirmed_at_ ? now - *confirmed_at_ : duration::max();
    if (known_revision_ > std::max(complete_revision_, last_change_)) {
        result.sync_state = contract_sync_state::behind;
    } else if (result.age <= freshness_limit_) {
        result.sync_state = contract_sync_state::current;
    } else {
        result.sync_state = contract_sync_state::unproved;
    }
    return result;
}

std::string contract_registry::document(const customer_id& customer) const {
    const auto found = entries_.find(customer);
    return found == entries_.end() ? std::string() : found->second.change.document;
}

bool contract_registry::can_list_after(std::int64_t cursor) const {
    return std::none_of(gaps_.begin(), gaps_.end(), [cursor](const gap& range) {
        return range.from < cursor && cursor < range.to;
    });
}

void contract_registry::add_gap(gap added) {
    constexpr std::size_t max_gaps = 16;
    gaps_.push_back(added);
    if (gaps_.size() > max_gaps) {
        gaps_[1].from = std::min(gaps_[0].from, gaps_[1].from);
        gaps_[1].to = std::max(gaps_[0].to, gaps_[1].to);
        gaps_.erase(gaps_.begin());
    }
}

std::vector<contract_change> contract_registry::changes_after(std::int64_t cursor) const {
    std::vector<contract_change> changes;
    for (const auto& [customer, stored] : entries_) {
        if (stored.change.revision > cursor) {
            changes.push_back(stored.change);
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](const auto& a, const auto& b) { return a.revision < b.revision; });
    return changes;
}

std::shared_ptr<const contract_table> contract_registry::table() const {
    if (table_) {
        return table_;
    }
    std::vector<std::shared_ptr<const contract>> contracts;
    for (const auto& [customer, stored] : entries_) {
        if (stored.value) {
            contracts.push_back(stored.value);
        }
    }
    table_ = std::make_shared<const contract_table>(std::move(contracts));
    return table_;
}

void contract_registry::discard_old_tombstones() {
    while (tombstones_ > max_tombstones_) {
        auto oldest = entries_.end();
        for (auto it = entries_.begin(); it != entries_.end(); ++it) {
            const bool erased = it->second.change.erased;
            if (erased && (oldest == entries_.end() ||
                           it->second.change.revision < oldest->second.change.revision)) {
                oldest = it;
            }
        }
        // A tombstone above the complete revision is still needed to reject an older change.
        if (oldest->second.change.revision > complete_revision_) {
            return;
        }
        add_gap({0, oldest->second.change.revision});
        entries_.erase(oldest);
        --tombstones_;
    }
}

}  // namespace fuchsiaquay
