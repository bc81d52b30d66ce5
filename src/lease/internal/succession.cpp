#include "lease/succession.h"

namespace heatherdrift {

bool provesTermination(
    const member_row& current, const instance_ref& older, const std::optional<endpoint>& olderControl)
{
    if (current.self.id != older.id || current.self.number <= older.number)
        return false;
    const bool isSameSlot = current.firstAtAddress != 0 && current.firstAtAddress <= older.number;
    return isSameSlot || (olderControl && *olderControl == current.control);
}

bool mayRegisterOver(const member_row& current, const endpoint& control)
{
    return current.control == control || current.state == member_state::fenced || current.state == member_state::left;
}

member_row registrationOver(const std::optional<member_row>& current, member_row next)
{
    next.self.number = current ? current->self.number + 1 : 1;
    next.firstAtAddress = next.self.number;
    if (current && current->control == next.control)
        next.firstAtAddress = current->firstAtAddress != 0 ? current->firstAtAddress : current->self.number;
    return next;
}

} // namespace heatherdrift
