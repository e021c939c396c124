#include "tests/stand_ins/service/execution_record.hpp"

#include <iostream>

namespace fuchsiaquay::stand_ins {

std::int64_t execution_record::add(const execution& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    calls_.push_back(call);
    // The log survives a kill of the process, so that no execution is missing from the record.
    std::cout << "executed " << (call.key.empty() ? "-" : call.key) << ' ' << call.at_ms
              << std::endl;
    return static_cast<std::int64_t>(calls_.size());
}

std::vector<execution> execution_record::all() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
}

}  // namespace fuchsiaquay::stand_ins
