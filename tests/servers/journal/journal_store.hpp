#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "servers/store/read_result.hpp"
#include "servers/store/transaction.hpp"
#include "servers/store/write_result.hpp"

namespace fuchsiaquay {

/// In-memory store shared by all `journal_store_client` objects, with revisions like those of the
/// platform's store.
class journal_store {
public:
    /// If false, writes take effect even if their conditions do not hold, which is wrong.
    bool compare_ = true;

    stored_value get(const std::string& key) const {
        const auto found = values_.find(key);
        return found == values_.end() ? stored_value{key, "", 0} : found->second;
    }

    write_result apply(const transaction& change) {
        for (const transaction::condition& condition : change.conditions) {
            if (compare_ && get(condition.key).revision != condition.revision) {
                return {write_outcome::conflict, 0, ""};
            }
        }
        ++revision_;
        for (const transaction::write& write : change.writes) {
            values_[write.key] = {write.key, write.value, revision_};
        }
        return {write_outcome::applied, revision_, ""};
    }

    std::int64_t revision() const { return revision_; }

private:
    std::map<std::string, stored_value> values_;
    std::int64_t revision_ = 0;
};

}  // namespace fuchsiaquay
