#pragma once

#include "core/directory/directory_settings.hpp"
#include "servers/directory/entrypoint_source.hpp"

namespace fuchsiaquay {

class host_view;

/// Chooses entry hosts from the membership: a few hosts for each customer, preferably of this data
/// centre. Leaving hosts are omitted.
class rendezvous_entrypoints final : public entrypoint_source {
public:
    rendezvous_entrypoints(const host_view& hosts, const directory_settings& settings)
        : hosts_(hosts), settings_(settings) {}

    entrypoint_answer entrypoints(const contract& terms) const override;

private:
    const host_view& hosts_;
    directory_settings settings_;
};

}  // namespace fuchsiaquay
