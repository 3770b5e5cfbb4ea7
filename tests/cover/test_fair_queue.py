"""Tests of fair queueing between workspaces."""

import unittest

from wagtailpoint.admission.fair_queue import FairQueue


class FairQueueTest(unittest.TestCase):
    def test_removal_from_any_position_keeps_order(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for number in range(9):
            queue.push("ab"[number % 2], number, number)
        queue.remove("a", 0)
        queue.remove("a", 8)
        order = []
        while len(queue):
            number = queue.next_to_serve()
            queue.record_taken("ab"[number % 2])
            queue.remove("ab"[number % 2], number)
            order.append(number)
        self.assertEqual(order, [2, 1, 4, 3, 6, 5, 7])
