package honeygap.fleet;

/** Room for picks of this agent at one appliance, or at all of a build together. */
public final class Room {

    /** How many one appliance may hold on the mean, at least how many, and how many appliances there are. */
    public double each;
    public double least;
    public int appliances;
    public int out;
    /** Share of the answers that lately came late. */
    public double late;
    /** With room for less than one pick: no further one until then. */
    public long restUntil = Long.MIN_VALUE / 2;

    public Room(int appliances) {
        this.appliances = appliances;
    }
}
