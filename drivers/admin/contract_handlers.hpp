#pragma once

#include <functional>
#include <string>

#include "drivers/admin/admin_call.hpp"

namespace fuchsiaquay {

struct admin_services;
struct edit_result;

/// Operations on contracts and their caller keys.
class contract_handlers {
public:
    explicit contract_handlers(const admin_services& services) : services_(services) {}

    void list(const admin_call& call) const;
    void read(const admin_call& call) const;
    void write(const admin_call& call) const;
    void erase(const admin_call& call) const;
    void history(const admin_call& call) const;
    /// Issues a key, which is shown only in this reply, as only its digest is stored.
    void issue_key(const admin_call& call) const;
    /// Replaces the key whose digest is in the path with a new key.
    void rotate_key(const admin_call& call) const;
    void revoke_key(const admin_call& call) const;

private:
    /// @param remove  digest of the key to remove; empty for none
    /// @param key     new caller key to add; empty for none
    void change_keys(const admin_call& call, const std::string& remove, const std::string& key,
                     int attempts) const;
    void finish(const admin_call& call, const edit_result& result, const std::string& key) const;
    void audit(const admin_call& call, const edit_result& result) const;
    std::string utc_now() const;

    const admin_services& services_;
};

}  // namespace fuchsiaquay
