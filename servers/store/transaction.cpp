#include "servers/store/transaction.hpp"

namespace fuchsiaquay {

transaction compare_and_swap(std::string key, std::int64_t expected_revision, std::string value) {
    transaction change;
    change.conditions.push_back({key, expected_revision});
    change.writes.push_back({std::move(key), std::move(value), false, 0});
    return change;
}

}  // namespace fuchsiaquay
