#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "servers/store/key_value_store.hpp"

namespace fuchsiaquay {

class control_loop;

/// `key_value_store` that uses the HTTP/JSON gateway of the etcd v3 API. Handlers run on the
/// control thread. Every call ends within the call time-out; a write without a response has the
/// outcome `unknown`.
class etcd_store final : public key_value_store {
public:
    /// @param loop  must outlive this object
    /// @param base_uri  for example `http://127.0.0.1:2379`
    etcd_store(control_loop& loop, const std::string& base_uri, duration call_timeout);
    etcd_store(const etcd_store&) = delete;
    etcd_store& operator=(const etcd_store&) = delete;
    ~etcd_store() override;

    void read(const std::string& key, read_handler done) override;
    void read_prefix(const std::string& prefix, read_handler done) override;
    void commit(const transaction& change, write_handler done) override;
    void grant_lease(duration lifetime, lease_handler done) override;
    void keep_alive(std::int64_t lease, keep_alive_handler done) override;
    void revoke_lease(std::int64_t lease) override;
    watch_id watch(const std::string& prefix, std::int64_t from_revision, watch_handler event,
                   watch_end_handler end) override;
    void cancel_watch(watch_id id) override;

    /// Calls made so far; a watch counts as one.
    std::uint64_t call_count() const;

private:
    class impl;

    std::shared_ptr<impl> impl_;
};

}  // namespace fuchsiaquay
