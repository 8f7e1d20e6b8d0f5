/*!
Measures how resource use grows with size, for docs/CAPACITY.md.

Each figure is measured at several sizes and fitted by a line. The coefficient
of determination is printed with the line and shows whether the figure can be
extrapolated to the required size. The functions of `cicadagate-policy` are
measured alone at up to the required size; the resource use of idle processes is
measured on small fleets.
*/

mod decisions;
mod processes;

use {
    crate::fleet::FleetError,
    serde_json::{Value, json},
};

/// A fitted line.
#[derive(Clone, Debug)]
pub struct Slope {
    /// Name of the figure.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Unit of the sizes.
    pub per: &'static str,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Returns intercept, slope and coefficient of determination (R²) of the
    /// least-squares line.
    #[must_use]
    pub fn fit(&self) -> (f64, f64, f64) {
        #[expect(clippy::cast_precision_loss, reason = "few points")]
        let n = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n;
        let (mx, my) = (mean(|point| point.0), mean(|point| point.1));
        let sum = |of: &dyn Fn(f64, f64) -> f64| {
            self.points
                .iter()
                .map(|(x, y)| of(x - mx, y - my))
                .sum::<f64>()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let r_squared = if yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
        (my - slope * mx, slope, r_squared)
    }

    fn line(&self) -> String {
        let (intercept, slope, r_squared) = self.fit();
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.2}"))
            .collect();
        format!(
            "{}: {intercept:.2} + {slope:.5} {} per {}; R2 {r_squared:.3}; {}",
            self.name,
            self.unit,
            self.per,
            points.join(", "),
        )
    }
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

/// Measures all slopes and prints them, as a JSON array if `json` is set.
///
/// # Errors
///
/// Returns an error if a fleet can't be started.
pub async fn run(json: bool) -> Result<(), FleetError> {
    let mut slopes = decisions::measure();
    slopes.extend(processes::measure().await?);
    if json {
        let all: Vec<Value> = slopes
            .iter()
            .map(|slope| {
                let (intercept, gradient, r_squared) = slope.fit();
                json!({
                    "name": slope.name, "unit": slope.unit, "per": slope.per,
                    "base": intercept, "slope": gradient, "r2": r_squared, "points": slope.points,
                })
            })
            .collect();
        println!("{}", Value::Array(all));
    } else {
        for slope in &slopes {
            println!("{}", slope.line());
        }
    }
    Ok(())
}
