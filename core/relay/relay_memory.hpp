#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/relay/memory_claim.hpp"

namespace fuchsiaquay {

class memory_holder;

/// Limits the memory that this host holds for callers: what they send, and answers that are
/// buffered. A body may stop short of its end, an answer may be without end, and a caller may not
/// read, so that a limit for each does not limit the memory of the process.
///
/// When the limit is exceeded, holders give up their memory in this order: those of callers that
/// are not confirmed, then those of the caller that holds the most; of these the largest first.
class relay_memory {
public:
    explicit relay_memory(std::size_t limit) : limit_(limit) {}

    /// Sets what `holder` holds, and selects the holders that must give up theirs.
    void set(memory_holder& holder, const memory_claim& claim);
    /// Has to be called before `holder` is destroyed, and when it has given up its memory.
    void remove(memory_holder& holder);

    std::size_t used() const noexcept { return used_; }
    std::size_t limit() const noexcept { return limit_; }
    /// Holders that had to give up their memory, since startup.
    std::uint64_t cuts() const noexcept { return cuts_; }

private:
    struct share {
        memory_claim claim;
        /// The holder was told to give up its memory.
        bool ending = false;
    };
    using share_map = std::map<memory_holder*, share>;

    /// Subtracts the share from the totals.
    void subtract(const share& item);
    void add(const share& item);
    /// Tells the next holder. Returns false if there is none but those in `unable`.
    bool cut_next(std::set<memory_holder*>& unable);
    bool goes_before(const share& a, const share& b) const;

    std::size_t limit_;
    std::size_t used_ = 0;
    /// Bytes that are about to be released.
    std::size_t ending_ = 0;
    std::uint64_t cuts_ = 0;
    share_map shares_;
    /// Bytes of each caller, without those that are about to be released.
    std::map<std::string, std::size_t> owners_;
};

}  // namespace fuchsiaquay
