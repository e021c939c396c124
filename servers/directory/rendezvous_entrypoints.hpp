#pragma once

#include "core/time/clock.hpp"
#include "servers/directory/entrypoint_source.hpp"

namespace fuchsiaquay {

class host_view;

/// Names a few live hosts for each customer by rendezvous hashing; leaving hosts are omitted.
class rendezvous_entrypoints final : public entrypoint_source {
public:
    rendezvous_entrypoints(const host_view& hosts, duration keep_for)
        : hosts_(hosts), keep_for_(keep_for) {}

    entrypoint_answer entrypoints(const contract& terms) const override;

private:
    const host_view& hosts_;
    duration keep_for_;
};

}  // namespace fuchsiaquay
