#include "servers/directory/rendezvous_entrypoints.hpp"

#include "core/contract/contract.hpp"
#include "core/directory/directory.hpp"
#include "core/directory/entrypoint_answer.hpp"
#include "servers/views/host_view.hpp"

namespace fuchsiaquay {

entrypoint_answer rendezvous_entrypoints::entrypoints(const contract& terms) const {
    return choose_entrypoints(settings_, terms.customer, hosts_.host().data_centre,
                              hosts_.live_hosts());
}

}  // namespace fuchsiaquay
