#include "drivers/traffic/beast_upstream_connector.hpp"

#include <utility>

#include "core/relay/connection_end_evidence.hpp"
#include "drivers/control/control_loop.hpp"
#include "drivers/traffic/beast_exchange.hpp"
#include "servers/relay/connection_options.hpp"
#include "servers/relay/upstream_exchange.hpp"

namespace fuchsiaquay {

namespace {

class exchange_handle final : public upstream_exchange {
public:
    explicit exchange_handle(std::shared_ptr<beast_exchange> exchange)
        : exchange_(std::move(exchange)) {}
    exchange_handle(const exchange_handle&) = delete;
    exchange_handle& operator=(const exchange_handle&) = delete;
    ~exchange_handle() override { exchange_->cancel(); }

    bool reused_connection() const override { return exchange_->reused_connection(); }

private:
    std::shared_ptr<beast_exchange> exchange_;
};

}  // namespace

beast_upstream_connector::beast_upstream_connector(control_loop& loop, upstream_dialer& dialer)
    : loop_(loop),
      dialer_(dialer),
      pool_(std::make_shared<upstream_connection_pool>()),
      evidence_(std::make_shared<connection_end_evidence>()) {
    evidence_->on_tick(loop_.now());
    loop_.every(connection_end_evidence::tick_period, [this, pool = pool_, evidence = evidence_] {
        pool->remove_expired(loop_.now());
        evidence->on_tick(loop_.now());
    });
}

std::unique_ptr<upstream_exchange> beast_upstream_connector::open(
    const upstream_entry& upstream, std::string head, std::shared_ptr<const std::string> body,
    const connection_options& options, exchange_listener& listener) {
    upstream_connection idle;
    if (!options.new_connection) {
        idle = pool_->acquire(upstream.lifetime(), loop_.now());
    }
    opened_connections_ += idle.socket ? 0 : 1;
    auto exchange = std::make_shared<beast_exchange>(loop_, dialer_, pool_, evidence_, upstream,
                                                     std::move(head), std::move(body), listener);
    exchange->start(std::move(idle), options.connect_timeout);
    return std::make_unique<exchange_handle>(std::move(exchange));
}

void beast_upstream_connector::close_idle() {
    pool_->clear();
}

}  // namespace fuchsiaquay
