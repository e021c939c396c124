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

/// Prefills the parts of a prompt on the engines of a group, all at once, and waits until each has
/// exported its KV cache. Safe from any thread.
class group_prefill : public std::enable_shared_from_this<group_prefill> {
public:
    /// Called once: an empty failure when every part is held, else the first failure and its
    /// upstream.
    using done_handler =
        std::function<void(const std::string& failure, const upstream_id& failed_upstream)>;

    group_prefill(control_loop& loop, client_pool& clients, std::vector<plan_part> parts,
                  std::string model, std::shared_ptr<const std::string> prompt, int priority,
                  done_handler done);
    group_prefill(const group_prefill&) = delete;
    group_prefill& operator=(const group_prefill&) = delete;
    ~group_prefill();

    void start();
    /// Ends without calling `done`.
    void cancel();
    /// Frees the parts at their engines. Best effort: the owners cancel what is left.
    void release_parts() const;
    const std::vector<plan_part>& parts() const noexcept { return parts_; }

private:
    void prefill_part(std::size_t index, const std::string& text);
    void poll_export(std::size_t index);
    void poll_later(std::size_t index);
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
    std::size_t held_ = 0;
};

}  // namespace fuchsiaquay
