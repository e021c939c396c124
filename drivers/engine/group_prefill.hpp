#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/request/plan_part.hpp"

namespace fuchsiaquay {

class client_pool;
class control_loop;

/// Prefills the parts of a prompt in parallel on the engines of a group and waits until each engine
/// has exported its KV cache. Thread-safe.
class group_prefill : public std::enable_shared_from_this<group_prefill> {
public:
    /// Called once, with an empty `failure` when the KV cache of every part is exported, otherwise
    /// with the first failure and its upstream.
    using done_handler =
        std::function<void(const std::string& failure, const upstream_id& failed_upstream)>;

    group_prefill(control_loop& loop, client_pool& clients, std::vector<plan_part> parts,
                  std::string model, std::shared_ptr<const std::string> prompt, int priority,
                  done_handler done);
    group_prefill(const group_prefill&) = delete;
    group_prefill& operator=(const group_prefill&) = delete;
    ~group_prefill();

    void start();
    /// Stops without calling `done`.
    void cancel();
    /// Asks the engines to free the parts. Failures are ignored: the owners of the engines cancel
    /// the streams that are left.
    void release_parts() const;
    const std::vector<plan_part>& parts() const noexcept { return parts_; }

private:
    void prefill_part(std::size_t index, const std::string& text);
    void poll_export(std::size_t index);
    void schedule_poll(std::size_t index);
    void finish_part();
    void fail(std::size_t index, const std::string& failure);

    control_loop& loop_;
    client_pool& clients_;
    std::vector<plan_part> parts_;
    std::string model_;
    std::shared_ptr<const std::string> prompt_;
    int priority_;
    std::mutex mutex_;
    done_handler done_;
    std::size_t exported_parts_ = 0;
};

}  // namespace fuchsiaquay
