/**
 * The scheduler of an owner that is short of processor time: each step that a pass considers takes it some time.
 */

import { CellScheduler } from '../../src/common/cell/CellScheduler.js'

import type { CapacityReservations } from '../../src/common/cell/CapacityReservations.js'
import type { Step } from '../../src/common/cell/Job.js'
import type { IPlacementView } from '../../src/common/cell/Placement.js'
import type { WaitStage } from '../../src/common/cell/WaitingSteps.js'

export class CostlyScheduler extends CellScheduler {
  /** Called for each step that a pass considers. */
  public onConsider: () => void = () => {}

  protected override _placeStep (step: Step, reservations: CapacityReservations, view: IPlacementView): WaitStage | undefined {
    this.onConsider()
    return super._placeStep(step, reservations, view)
  }
}
