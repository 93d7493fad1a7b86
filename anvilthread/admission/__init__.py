"""Admission of requests: slots, queue, load shedding and retry budget."""

from anvilthread.admission.admission import Admission
from anvilthread.admission.dispatcher import Dispatcher
from anvilthread.admission.edge import Edge
from anvilthread.admission.limits import Limits
from anvilthread.admission.load import Load
from anvilthread.admission.offers import Offers, OfferSource, Place
from anvilthread.admission.retry_budget import RetryBudget
from anvilthread.admission.slot import Slot
from anvilthread.admission.slot_pool import SlotPool

__all__ = (
    'Admission',
    'Dispatcher',
    'Edge',
    'Limits',
    'Load',
    'OfferSource',
    'Offers',
    'Place',
    'RetryBudget',
    'Slot',
    'SlotPool',
)
