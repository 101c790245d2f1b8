#include <core/controller_client/quarantine_view.hpp>

namespace cuminledge::core::controller_client {

void applyUpdate(quarantine_view& view, const wire::config_update& update)
{
    if (update.quarantineComplete) {
        view.records.clear();
    }
    for (const auto& record : update.quarantine) {
        if (record.cleared) {
            view.records.erase(record.fingerprint);
        } else {
            view.records[record.fingerprint] = record;
        }
    }
    view.revision = update.quarantineRevision;
}

} // namespace cuminledge::core::controller_client
